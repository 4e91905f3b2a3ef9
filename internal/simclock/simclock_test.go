package simclock_test

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/simclock"
)

// Guards against a crash of the runtime under the race detector, when goroutines of a bubble
// receive from expired timers at the same time.
func TestExpiredTimersAreReceivedAtTheSameTime(t *testing.T) {
	is := is.New(t)
	threads := runtime.GOMAXPROCS(0)
	for range 50 {
		simclock.Test(t, func(*testing.T) {
			var wg sync.WaitGroup
			for range 64 {
				wg.Go(func() {
					for range 50 {
						timer := time.NewTimer(time.Millisecond)
						time.Sleep(time.Millisecond)
						<-timer.C
					}
				})
			}
			wg.Wait()
		})
	}
	is.Equal(runtime.GOMAXPROCS(0), threads)
}
