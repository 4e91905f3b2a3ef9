// Package simclock runs tests with the runtime's simulated clock.
//
// Under the race detector, [testing/synctest] crashes the process when two goroutines of a bubble
// receive at the same time from timers that have expired, such as those of time.After or
// time.NewTicker: the runtime runs such a timer in the receiving goroutine, with one race context
// for the whole bubble. The goroutines of a bubble therefore run on one thread under the race
// detector. It still reports unsynchronized accesses, as it compares their order of events and not
// their times. Without it, tests run on all threads.
//
// # Usage
//
//	func TestExpiry(t *testing.T) {
//		simclock.Test(t, func(t *testing.T) {
//			time.Sleep(time.Hour)
//		})
//	}
package simclock

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test is like [synctest.Test], and works under the race detector. Parallel tests must not call it,
// since it changes the number of threads of the process.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if Race {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
