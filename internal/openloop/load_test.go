package openloop_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/openloop"
	"github.com/shallotpier/shallotpier/internal/simclock"
)

func TestTimesDependOnlyOnSeed(t *testing.T) {
	is := is.New(t)
	a := openloop.Load{Rate: 1000, Duration: 10 * time.Second, Seed: 1}
	b := a
	is.Equal(a.Times(), b.Times())
	b.Seed = 2
	is.True(a.Times()[0] != b.Times()[0])
	n := len(a.Times())
	is.True(n > 9500 && n < 10500) // close to rate times duration
}

func TestRunIncludesStallInLatencyOfDelayedRequests(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := openloop.Load{Rate: 100, Duration: 10 * time.Second, Seed: 1, InFlight: 1}
		stalled := false
		r := l.Run(context.Background(), func(context.Context, int) error {
			if !stalled {
				stalled = true
				time.Sleep(5 * time.Second)
			}
			return nil
		})
		is.Equal(r.Sent, len(l.Times()))
		p := r.Percentiles()
		is.True(p.Max.Std() > 4900*time.Millisecond)
		// Half of the arrivals are scheduled during the stall; the median one
		// of these waits for about half of it.
		is.True(r.Latency.ValueAtQuantile(75) > (2 * time.Second).Microseconds())
	})
}

func TestRunDoesNotRecordWarmup(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := openloop.Load{Rate: 100, Duration: 4 * time.Second, Warmup: 2 * time.Second, Seed: 1}
		start := time.Now()
		r := l.Run(context.Background(), func(_ context.Context, n int) error {
			if time.Since(start) < 2*time.Second {
				time.Sleep(time.Second)
			}
			if n%10 == 0 {
				return errors.New("refused")
			}
			return nil
		})
		is.Equal(r.Percentiles().Max.Std(), time.Duration(0)) // the slow requests of the warm-up are not recorded
		is.True(r.Sent < len(l.Times()))
		is.Equal(r.Sent, r.Failed+int(r.Latency.TotalCount()))
		is.True(r.Failed > 0)
		is.True(r.FirstError != nil)
	})
}

func TestRunStopsWhenContextIsDone(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		l := openloop.Load{Rate: 100, Duration: time.Hour, Seed: 1}
		start := time.Now()
		l.Run(ctx, func(context.Context, int) error { return nil })
		is.True(time.Since(start) < 2*time.Second)
	})
}
