package admitorder

import (
	"sync/atomic"
	"time"
)

const (
	// maxRefusals is the number of refusals that are remembered. Later ones replace earlier
	// ones with the same place in the table.
	maxRefusals = 1 << 12
	// tooEarly is the part of the Retry-After time before which a repeated request counts as
	// repeated at once.
	tooEarly = 2
	lowBits  = 32
)

// Refusals remembers for how long callers should not repeat refused requests. The zero
// Refusals is ready for use and safe for concurrent use.
type Refusals struct {
	// slots hold half of a fingerprint and the time in milliseconds.
	slots [maxRefusals]atomic.Uint64
}

// Note records that a request with a fingerprint was refused, and its Retry-After time.
func (r *Refusals) Note(now time.Time, fingerprint uint64, retryAfter time.Duration) {
	until := uint32(now.Add(retryAfter / tooEarly).UnixMilli())
	r.slots[fingerprint%maxRefusals].Store(fingerprint>>lowBits<<lowBits | uint64(until))
}

// Early reports whether a request with the fingerprint was refused, and is repeated in less
// than half of the time that its caller was told.
func (r *Refusals) Early(now time.Time, fingerprint uint64) bool {
	slot := r.slots[fingerprint%maxRefusals].Load()
	left := int32(uint32(slot) - uint32(now.UnixMilli()))
	return slot != 0 && slot>>lowBits == fingerprint>>lowBits && left > 0 && time.Duration(left)*time.Millisecond < time.Hour
}
