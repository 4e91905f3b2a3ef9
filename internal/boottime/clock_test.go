package boottime_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/simclock"
)

// Guards against a clock that stands still or counts in another unit.
func TestSystemClockAdvancesLikeTheRuntimeClock(t *testing.T) {
	is := is.New(t)
	clock, begin := boottime.System(), time.Now()
	first := clock()
	time.Sleep(20 * time.Millisecond)
	passed := clock().Sub(first)
	is.True(passed >= 20*time.Millisecond)
	is.True(passed <= time.Since(begin))
	is.Equal(first.Add(passed).Sub(first), passed)
}

// Guards against proofs that never age, and quotas that are never refilled, on a machine whose
// boot clock is missing, stands still or goes back; and against the loss of the time for which
// a machine was suspended.
func TestClockIsNotBehindTheRuntimeClock(t *testing.T) {
	const hour = boottime.Instant(time.Hour)
	tests := map[string]struct {
		boot func(passed time.Duration) boottime.Instant
		want time.Duration
	}{
		"regular":      {func(passed time.Duration) boottime.Instant { return hour.Add(passed) }, 10 * time.Second},
		"missing":      {func(time.Duration) boottime.Instant { return 0 }, 10 * time.Second},
		"stands still": {func(time.Duration) boottime.Instant { return hour }, 10 * time.Second},
		"goes back":    {func(passed time.Duration) boottime.Instant { return hour.Add(-passed) }, 10 * time.Second},
		"suspended": {func(passed time.Duration) boottime.Instant {
			if passed >= 5*time.Second {
				passed += time.Minute
			}
			return hour.Add(passed)
		}, 70 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				begin := time.Now()
				clock := boottime.NotBehind(func() boottime.Instant { return tt.boot(time.Since(begin)) }, time.Since)
				first := clock()
				time.Sleep(10 * time.Second)
				is.Equal(clock().Sub(first), tt.want)
			})
		})
	}
}
