package link

import (
	"sync"
	"time"
)

// Chunk is the number of bytes that a transfer passes at a time. It is about what a connection
// has under way on a short path.
const Chunk = 16 << 10

// Link is the network link of a machine. It is safe for concurrent use. A nil Link passes bytes
// at once.
type Link struct {
	// Rate is the number of bytes that pass in a second, in both directions together.
	Rate float64

	mu   sync.Mutex
	free time.Time // when all reserved bytes have passed
}

// Reserve lets bytes pass behind those that were reserved before, and returns the time until they
// have passed.
func (l *Link) Reserve(bytes int) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.Rate * float64(time.Second)))
	return l.free.Sub(now)
}

// Queue returns the time until all bytes that were reserved have passed.
func (l *Link) Queue() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(time.Until(l.free), 0)
}

// Pass waits until bytes have passed one link after the other.
func Pass(bytes int, links ...*Link) {
	for _, l := range links {
		time.Sleep(l.Reserve(bytes))
	}
}
