package limiter

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// reportInterval is the interval between reports of limits reached.
	reportInterval = time.Second
	// calmAfter is how long after the last refusal an organisation no longer counts as
	// limited.
	calmAfter = 5 * time.Second
	// maxReports is the greatest number of log lines of a report.
	maxReports = 10
	// maxMetered is the greatest number of organisations that have metrics of their own, the
	// first that reach their limits.
	maxMetered = 50
)

// State is the state of an organisation's limit at this entry.
type State struct {
	// Organisation is its name.
	Organisation id.Organisation
	// Rate and Burst are its limit.
	Rate  unit.Rate
	Burst float64
	// LimitedFor is for how long requests have been refused over the limit, 0 if none have.
	LimitedFor time.Duration
	// Parts is the number of parts of the limit that this entry is accountable for.
	Parts int
	// Demand is the estimated rate of its requests at this entry.
	Demand float64
	// Tokens is the number of tokens that this entry holds.
	Tokens int
	// Granted, Exceeded and Unavailable count the decisions on requests, Lent the tokens
	// granted to other entries.
	Granted, Exceeded, Unavailable, Lent uint64
}

// count counts a decision. The caller holds the lock.
func (o *organisation) count(now boottime.Instant, outcome quota.Outcome) {
	switch outcome {
	case quota.Exceeded:
		o.counts.exceeded++
		o.refusedAt = now
		if o.limitedSince == 0 {
			o.limitedSince = now
		}
	case quota.Unavailable:
		o.counts.unavailable++
	default:
		o.counts.granted++
	}
}

// States returns the states of the organisations that are limited at this entry, or that
// it is accountable for, sorted by name.
func (l *Limiter) States() []State {
	t := l.table.Load()
	if t == nil {
		return nil
	}
	now := l.Clock()
	var all []State
	for _, o := range t.byName {
		o.mu.Lock()
		if o.limitedSince != 0 || o.parts > 0 {
			all = append(all, o.state(now))
		}
		o.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b State) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return all
}

// state returns the state. The caller holds the lock.
func (o *organisation) state(now boottime.Instant) State {
	s := State{
		Organisation: o.name, Rate: o.limit.Rate, Burst: o.limit.Burst, Parts: o.parts,
		Granted: o.counts.granted, Exceeded: o.counts.exceeded, Unavailable: o.counts.unavailable, Lent: o.counts.lent,
	}
	s.Demand, s.Tokens = o.holder.Demand(now)
	if o.limitedSince != 0 {
		s.LimitedFor = now.Sub(o.limitedSince)
	}
	return s
}

// Step reports the organisations that have reached their limits, or no longer do. It is called
// a few times a second.
func (l *Limiter) Step() {
	now, t := l.Clock(), l.table.Load()
	l.mu.Lock()
	due := now.Sub(l.reported) >= reportInterval
	if due {
		l.reported = now
	}
	l.mu.Unlock()
	if t == nil || !due {
		return
	}
	lines, left, limited := 0, 0, 0
	for _, o := range t.byName {
		event, s := o.event(now)
		if s.LimitedFor > 0 {
			limited++
			l.meter(o, &s)
		}
		switch {
		case event == "":
		case lines == maxReports:
			left++
		default:
			lines++
			l.Log.Info(event, "organisation", s.Organisation, "rate", s.Rate, "burst", s.Burst, "demandHere", math.Round(10*s.Demand)/10, "partsHere", s.Parts,
				"since", s.LimitedFor, "granted", s.Granted, "exceeded", s.Exceeded, "unavailable", s.Unavailable, "lent", s.Lent)
		}
	}
	if left > 0 {
		l.Log.Info("more limits of organisations reached or no longer", "organisations", left)
	}
	l.Metrics.GetOrCreateGauge(`shallotpier_quota_limited_organisations`, nil).Set(float64(limited))
}

// meter sets the metrics of a limited organisation.
func (l *Limiter) meter(o *organisation, s *State) {
	if !o.metered {
		if l.metered == maxMetered {
			return
		}
		o.metered, l.metered = true, l.metered+1
	}
	l.Metrics.GetOrCreateCounter(fmt.Sprintf(`shallotpier_quota_granted_total{organisation=%q}`, s.Organisation)).Set(s.Granted)
	l.Metrics.GetOrCreateCounter(fmt.Sprintf(`shallotpier_quota_exceeded_total{organisation=%q}`, s.Organisation)).Set(s.Exceeded)
}

// event returns what a report says of the organisation, if anything, and the state of one that
// is limited.
func (o *organisation) event(now boottime.Instant) (string, State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.limitedSince == 0:
		return "", State{}
	case now.Sub(o.refusedAt) >= calmAfter:
		s := o.state(now)
		o.limitedSince, o.reportedLimited = 0, false
		return "organisation's limit no longer reached", s
	case !o.reportedLimited:
		o.reportedLimited = true
		return "organisation's limit reached", o.state(now)
	default:
		return "", o.state(now)
	}
}
