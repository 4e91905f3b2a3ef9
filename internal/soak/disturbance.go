package soak

import (
	"sync"
	"time"
)

// disturbance keeps the spans of time in which something was disturbed. The zero
// disturbance has none.
type disturbance struct {
	mu    sync.Mutex
	spans [][2]time.Time
}

// add notes a span from now until a time.
func (d *disturbance) add(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans = append(d.spans, [2]time.Time{time.Now(), until})
}

// calm tells whether no span touches the time before a moment.
func (d *disturbance) calm(at time.Time, before time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		if s[0].Before(at) && s[1].After(at.Add(-before)) {
			return false
		}
	}
	return true
}
