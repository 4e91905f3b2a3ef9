// Package outlier tells backend servers that fail or slow down from those that
// are as good as the rest of their service.
//
// A [Record] holds what this entry's requests met at one server: how often they
// failed, and how long they took as a multiple of what requests of their kind
// usually take. Both fade, so that a server is tried again after a while. A
// server is only an outlier in comparison: if all fail alike, none is.
//
// # Usage
//
//	r.Observe(now, false, 0)   // a request failed
//	r.Observe(now, true, 1.2)  // one took 1.2 times as long as usual
//	if r.Outlier(now, meanOfTheService) {
//		// other servers first
//	}
package outlier

import (
	"math"
	"time"
)

const (
	// fade is the time in which half of what was seen is forgotten, some times
	// the usual gap between two requests of one entry to one server.
	fade = 3 * time.Second
	// weight is the part of one observation in the averages.
	weight = 0.15
	// failureMargin is how much more often a server must fail than the mean, as
	// a part of its requests; single failures in a hundred are usual.
	failureMargin = 0.15
	// negligible is what is forgotten wholly, so that servers without requests cost
	// nothing to judge.
	negligible = 1e-6
	// slowFactor is how many times as long as the mean its requests must take;
	// chance alone makes averages differ by a factor of two.
	slowFactor = 2.5
)

type (
	// Seen sums up what was seen of a server, or of all servers of a service.
	Seen struct {
		// Failures is the share of failed requests, 0 to 1.
		Failures float64
		// Surplus is how much longer than usual requests took, as a multiple
		// of the usual; 0 is as long as usual.
		Surplus float64
	}

	// Record is what was seen of one server. The zero Record has seen nothing.
	// It is not safe for concurrent use.
	Record struct {
		at   time.Time
		seen Seen
	}
)

// Observe takes in one request: whether it was answered well, and how long the
// answer took as a multiple of the usual; 0 if that says nothing.
func (r *Record) Observe(now time.Time, ok bool, times float64) {
	r.settle(now)
	failed := 0.0
	if !ok {
		failed = 1
	}
	r.seen.Failures += weight * (failed - r.seen.Failures)
	if ok && times > 0 {
		r.seen.Surplus += weight * (max(times-1, 0) - r.seen.Surplus)
	}
}

// Seen returns what is remembered.
func (r *Record) Seen(now time.Time) Seen {
	r.settle(now)
	return r.seen
}

// Outlier tells whether the server fails much more often than the mean of its
// service, or is much slower.
func (r *Record) Outlier(now time.Time, mean Seen) bool {
	r.settle(now)
	return r.seen.Failures > 2*mean.Failures+failureMargin || 1+r.seen.Surplus > slowFactor*(1+mean.Surplus)
}

// settle fades what was seen.
func (r *Record) settle(now time.Time) {
	if r.seen == (Seen{}) {
		r.at = now // nothing fades
		return
	}
	if now.After(r.at) {
		if !r.at.IsZero() {
			f := math.Exp2(-float64(now.Sub(r.at)) / float64(fade))
			r.seen.Failures *= f
			r.seen.Surplus *= f
			if r.seen.Failures < negligible && r.seen.Surplus < negligible {
				r.seen = Seen{}
			}
		}
		r.at = now
	}
}
