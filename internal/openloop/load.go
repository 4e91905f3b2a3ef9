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
	defaultInFlight = 1000
	maxLatency      = time.Hour
	digits          = 3
	streamSalt      = 0x5ca1ab1e
)

type (
	// Load is a schedule of arrivals.
	Load struct {
		// Rate is the mean rate of arrivals.
		Rate unit.Rate
		// Duration is how long arrivals go on, the warm-up included.
		Duration time.Duration
		// Warmup is the first part of it, whose latencies are not recorded.
		Warmup time.Duration
		// Seed fixes the times of the arrivals.
		Seed uint64
		// InFlight is the greatest number of requests at the same time; 0
		// means 1000. An arrival beyond it waits, and its wait counts.
		InFlight int
	}

	// Result is what a load saw after its warm-up.
	Result struct {
		// Latency holds the times from the schedule to the end of the answer,
		// in microseconds, failures excepted.
		Latency *hdrhistogram.Histogram
		// Sent counts the requests.
		Sent int
		// Failed counts those that ended in an error.
		Failed int
		// FirstError is the first error that was seen.
		FirstError error
	}

	// Percentiles are latencies.
	Percentiles struct {
		// Count is the number of latencies.
		Count int64 `json:"count"`
		// P50 is the median.
		P50 unit.Duration `json:"p50"`
		// P99 is the 99th percentile.
		P99 unit.Duration `json:"p99"`
		// P999 is the 99.9th percentile.
		P999 unit.Duration `json:"p999"`
		// Max is the greatest.
		Max unit.Duration `json:"max"`
	}

	collector struct {
		mu     sync.Mutex
		result Result
	}
)

// Times returns the times of all arrivals from the start.
func (l *Load) Times() []time.Duration {
	rng := rand.New(rand.NewPCG(l.Seed, streamSalt))
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

// Run calls do for each arrival, with the arrival's number, and returns when
// all calls have ended. When ctx ends no more calls are begun.
func (l *Load) Run(ctx context.Context, do func(ctx context.Context, n int) error) Result {
	inFlight := l.InFlight
	if inFlight == 0 {
		inFlight = defaultInFlight
	}
	places := make(chan struct{}, inFlight)
	c := collector{result: Result{Latency: NewHistogram()}}
	var running sync.WaitGroup
	start := time.Now()
	for n, at := range l.Times() {
		if !sleepUntil(ctx, start.Add(at)) {
			break
		}
		places <- struct{}{}
		running.Go(func() {
			err := do(ctx, n)
			if at >= l.Warmup {
				c.add(time.Since(start)-at, err)
			}
			<-places
		})
	}
	running.Wait()
	return c.result
}

// NewHistogram returns an empty histogram of latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

// Percentiles returns the percentiles of the latencies.
func (r *Result) Percentiles() Percentiles { return Of(r.Latency) }

// Of returns the percentiles of a histogram in microseconds.
func Of(h *hdrhistogram.Histogram) Percentiles {
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
	// Values over the histogram's range count as its greatest.
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
