package soak

import (
	"sync"
	"time"
)

// disturbance records the time spans in which faults disturbed an entry or the store.
// The zero value has none.
type disturbance struct {
	mu    sync.Mutex
	spans [][2]time.Time
}

// add records a span from now until the given time.
func (d *disturbance) add(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans = append(d.spans, [2]time.Time{time.Now(), until})
}

// quiet reports whether no span overlaps the given duration before a time.
func (d *disturbance) quiet(at time.Time, period time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		if s[0].Before(at) && s[1].After(at.Add(-period)) {
			return false
		}
	}
	return true
}
