package freshness

import (
	"fmt"
	"math"
)

// registerMetrics registers the gauges of the proof.
func (l *Loop) registerMetrics() {
	l.Metrics.GetOrCreateGauge(`shallotpier_configuration_proof_age_seconds`, func() float64 {
		age, held := l.Tracker.Age(l.Clock())
		if !held {
			return math.Inf(1)
		}
		return age.Seconds()
	})
	l.Metrics.GetOrCreateGauge(`shallotpier_configuration_confirmed`, func() float64 {
		if l.Tracker.Fresh(l.Clock()) {
			return 1
		}
		return 0
	})
	l.Metrics.GetOrCreateCounter(`shallotpier_configuration_unconfirmed_total`)
}

// count counts the answers by source and verdict, if there is a bound.
func (l *Loop) count(source Source, verdict Verdict) {
	if l.Tracker.Bound() > 0 {
		l.Metrics.GetOrCreateCounter(fmt.Sprintf(`shallotpier_configuration_proofs_total{source=%q,verdict=%q}`, source, verdict)).Inc()
	}
}

// countCall counts the calls by type and result.
func (l *Loop) countCall(call string, answered bool) {
	l.Metrics.GetOrCreateCounter(fmt.Sprintf(`shallotpier_configuration_%s_total{answered="%t"}`, call, answered)).Inc()
}
