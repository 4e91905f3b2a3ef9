package follow

import (
	"fmt"
	"time"
)

// Causes of a list.
const (
	listFirst     listCause = "first"     // there is no state yet
	listFailed    listCause = "failed"    // a call has failed
	listBehind    listCause = "behind"    // another entry has applied a later change
	listCompacted listCause = "compacted" // the store has discarded changes
	listRestored  listCause = "restored"  // the store was restored from an older copy
)

// listCause tells why the objects are listed, in metrics.
type listCause string

// registerMetrics registers the gauges of the store's era and of the time behind other entries.
func (f *Follower) registerMetrics() {
	if f.Metrics == nil {
		return
	}
	f.Metrics.GetOrCreateGauge(fmt.Sprintf(`shallotpier_store_era{kind=%q}`, f.Kind), func() float64 { return float64(f.Era()) })
	f.Metrics.GetOrCreateGauge(fmt.Sprintf(`shallotpier_follow_behind_seconds{kind=%q}`, f.Kind), func() float64 {
		return f.Behind(time.Now()).Seconds()
	})
}

// countList counts a list by its cause.
func (f *Follower) countList() {
	if f.Metrics == nil {
		return
	}
	cause := f.cause
	if cause == "" {
		cause = listFirst
	}
	f.Metrics.GetOrCreateCounter(fmt.Sprintf(`shallotpier_follow_lists_total{kind=%q,cause=%q}`, f.Kind, cause)).Inc()
}

func (f *Follower) count(counter string) {
	if f.Metrics != nil {
		f.Metrics.GetOrCreateCounter(fmt.Sprintf(`%s{kind=%q}`, counter, f.Kind)).Inc()
	}
}
