// Package outlier implements outlier detection: it finds the backend servers that
// fail more often or are slower than the other servers of their service.
//
// A [Record] holds two averages over this entry's requests to one server: the failure
// rate, and the latency as a multiple of the [Baseline] of requests of the same kind.
// Both decay, so that the server is tried again after a while. A server is only an
// outlier in comparison with its service: if all servers fail alike, none is.
//
// # Usage
//
//	r.Observe(now, false, 0)   // a request failed
//	r.Observe(now, true, 1.2)  // one took 1.2 times the baseline
//	if r.Outlier(now, meanOfTheService) {
//		// prefer other servers
//	}
package outlier

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of the averages, a few times the usual interval
	// between two requests of one entry to one server.
	halfLife = 3 * time.Second
	// weight is the weight of one request in the averages.
	weight = 0.15
	// failureMargin is the failure rate above twice the mean that makes a server an
	// outlier. A few failures in a hundred requests are normal.
	failureMargin = 0.15
	// negligible is the value below which both averages are reset to 0, so that
	// servers without requests cost nothing to evaluate.
	negligible = 1e-6
	// slowFactor is the multiple of the mean latency that makes a server an outlier.
	// Averages differ by a factor of two by chance alone.
	slowFactor = 2.5
)

type (
	// Stats holds the averages of a server, or their means over the servers of a
	// service.
	Stats struct {
		// Failures is the share of failed requests, 0 to 1.
		Failures float64
		// Excess is the latency above the baseline, as a multiple of the baseline; 0
		// if the latency does not exceed it.
		Excess float64
	}

	// Record holds the averages of one server. The zero Record has no data. It is not
	// safe for concurrent use.
	Record struct {
		at    time.Time
		stats Stats
	}
)

// Observe records one request: whether it succeeded, and its latency as a multiple of
// the baseline; 0 if the latency is not meaningful.
func (r *Record) Observe(now time.Time, ok bool, latencyRatio float64) {
	r.decay(now)
	failed := 0.0
	if !ok {
		failed = 1
	}
	r.stats.Failures += weight * (failed - r.stats.Failures)
	if ok && latencyRatio > 0 {
		r.stats.Excess += weight * (max(latencyRatio-1, 0) - r.stats.Excess)
	}
}

// Stats returns the current averages.
func (r *Record) Stats(now time.Time) Stats {
	r.decay(now)
	return r.stats
}

// Outlier reports whether the server fails much more often than the mean of its
// service, or is much slower.
func (r *Record) Outlier(now time.Time, mean Stats) bool {
	r.decay(now)
	return r.stats.Failures > 2*mean.Failures+failureMargin || 1+r.stats.Excess > slowFactor*(1+mean.Excess)
}

// decay applies the decay since the last call.
func (r *Record) decay(now time.Time) {
	if r.stats == (Stats{}) {
		r.at = now // nothing to decay
		return
	}
	if now.After(r.at) {
		if !r.at.IsZero() {
			f := math.Exp2(-float64(now.Sub(r.at)) / float64(halfLife))
			r.stats.Failures *= f
			r.stats.Excess *= f
			if r.stats.Failures < negligible && r.stats.Excess < negligible {
				r.stats = Stats{}
			}
		}
		r.at = now
	}
}
