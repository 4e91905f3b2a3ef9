package outlier

import (
	"sync"
	"time"
)

// baselineWeight is the weight of one answer in a Baseline, which thus covers about
// the last hundred answers.
const baselineWeight = 0.01

// Baseline is the exponentially weighted moving average of the latency of requests of
// one kind. The zero Baseline is initialised by the first answer. It is safe for
// concurrent use.
type Baseline struct {
	mu   sync.Mutex
	mean float64 // seconds
}

// Compare returns the latency as a multiple of the average and then adds it to the
// average.
func (b *Baseline) Compare(latency time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := latency.Seconds()
	if b.mean == 0 {
		b.mean = s
	}
	ratio := s / b.mean
	b.mean += baselineWeight * (s - b.mean)
	return ratio
}
