package outlier

import (
	"sync"
	"time"
)

// baselineWeight is the part of one answer in a Baseline: some hundred answers
// count.
const baselineWeight = 0.01

// Baseline is how long answers to requests of one kind usually take. The zero
// Baseline takes the first answer as usual. It is safe for concurrent use.
type Baseline struct {
	mu   sync.Mutex
	mean float64 // seconds
}

// Compare returns a latency as a multiple of the usual, and takes it in.
func (b *Baseline) Compare(latency time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := latency.Seconds()
	if b.mean == 0 {
		b.mean = s
	}
	times := s / b.mean
	b.mean += baselineWeight * (s - b.mean)
	return times
}
