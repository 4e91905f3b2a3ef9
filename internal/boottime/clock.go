// Package boottime reads the time since the machine's boot, including the time during which
// the machine was suspended. The runtime's monotonic clock leaves that time out.
//
// # Usage
//
//	clock := boottime.System()
//	start := clock()
//	if clock()-start > limit {
//		// at least limit has passed, even if the machine was suspended
//	}
package boottime

import (
	"time"
)

type (
	// Clock returns the time since the machine's boot. Tests use clocks of their own.
	Clock func() Instant

	// Instant is a time since the machine's boot.
	Instant time.Duration
)

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Add returns the instant that is d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// notBehind returns a clock that follows boot as long as that isn't behind the time that has
// passed according to since.
func notBehind(boot func() Instant, since func(time.Time) time.Duration) Clock {
	start := time.Now()
	first := boot()
	return func() Instant {
		return max(boot(), first.Add(since(start)))
	}
}
