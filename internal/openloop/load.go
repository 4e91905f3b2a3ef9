package openloop

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	defaultInFlight   = 1000
	maxLatency        = time.Hour
	significantDigits = 3
	rngStream         = 0x5ca1ab1e // PCG stream of the arrival times
)

type (
	// Load is a schedule of arrivals.
	Load struct {
		// Rate is the mean arrival rate.
		Rate unit.Rate
		// Duration is the duration of the schedule, including the warm-up.
		Duration time.Duration
		// Warmup is the initial part of Duration whose requests are not
		// recorded.
		Warmup time.Duration
		// Seed is the seed of the arrival times.
		Seed uint64
		// InFlight is the maximum number of concurrent requests; 0 means 1000.
		// An arrival above the limit waits, and the wait is part of its
		// latency.
		InFlight int
	}

	// Result holds the results of the requests scheduled after the warm-up.
	Result struct {
		// Latency holds the times from the scheduled arrival to the end of the
		// response, in microseconds, of the requests that succeeded.
		Latency *hdrhistogram.Histogram
		// Sent is the number of requests.
		Sent int
		// Failed is the number of requests that returned an error.
		Failed int
		// FirstError is the first error that occurred.
		FirstError error
	}

	// Percentiles holds latency percentiles.
	Percentiles struct {
		// Count is the number of recorded latencies.
		Count int64 `json:"count"`
		// P50 is the median.
		P50 unit.Duration `json:"p50"`
		// P99 is the 99th percentile.
		P99 unit.Duration `json:"p99"`
		// P999 is the 99.9th percentile.
		P999 unit.Duration `json:"p999"`
		// Max is the maximum.
		Max unit.Duration `json:"max"`
	}

	collector struct {
		mu     sync.Mutex
		result Result
	}
)

// Times returns the scheduled times of all arrivals, relative to the start.
func (l *Load) Times() []time.Duration {
	rng := rand.New(rand.NewPCG(l.Seed, rngStream))
	var times []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / float64(l.Rate) * float64(time.Second))
		if at >= l.Duration {
			return times
		}
		times = append(times, at)
	}
}

// Run calls do at each scheduled arrival, with the index of the arrival, and
// returns when all calls have returned. No more calls are started once ctx is
// done.
func (l *Load) Run(ctx context.Context, do func(ctx context.Context, n int) error) Result {
	inFlight := l.InFlight
	if inFlight == 0 {
		inFlight = defaultInFlight
	}
	semaphore := make(chan struct{}, inFlight)
	c := collector{result: Result{Latency: NewHistogram()}}
	var running sync.WaitGroup
	start := time.Now()
	for n, at := range l.Times() {
		if !sleepUntil(ctx, start.Add(at)) {
			break
		}
		semaphore <- struct{}{}
		running.Go(func() {
			err := do(ctx, n)
			if at >= l.Warmup {
				c.add(time.Since(start)-at, err)
			}
			<-semaphore
		})
	}
	running.Wait()
	return c.result
}

// NewHistogram returns an empty histogram of latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// Percentiles returns the percentiles of the latencies.
func (r *Result) Percentiles() Percentiles { return PercentilesOf(r.Latency) }

// PercentilesOf returns the percentiles of a histogram of latencies in microseconds.
func PercentilesOf(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) unit.Duration { return micros(h.ValueAtQuantile(q)) }
	return Percentiles{Count: h.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: micros(h.Max())}
}

func (c *collector) add(latency time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Sent++
	if err != nil {
		c.result.Failed++
		if c.result.FirstError == nil {
			c.result.FirstError = err
		}
		return
	}
	// Latencies above the range of the histogram are recorded as its maximum.
	_ = c.result.Latency.RecordValue(min(latency, maxLatency).Microseconds())
}

func micros(v int64) unit.Duration { return unit.Duration(time.Duration(v) * time.Microsecond) }

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
