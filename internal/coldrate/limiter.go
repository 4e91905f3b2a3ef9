// Package coldrate limits how many requests an entry sends to a backend server
// that is cold.
//
// A cold server carries only a few requests a second from all entries together.
// Entries don't ask each other before a send, so each has a part of the rate,
// counted over every span of a second. Parts are whole requests; what is left over
// goes to the entries that rank first for the server, so that a server whose rate
// is smaller than the number of entries still gets requests.
//
// # Usage
//
//	var l coldrate.Limiter
//	if l.Take(now, coldrate.Share(30, entries, rank)) {
//		send()
//	}
package coldrate

import "time"

// Span is the time over which requests are counted.
const Span = time.Second

// margin covers sends that are delayed on the way and arrive in the same second
// as later ones, as a part of the rate that stays unused.
const margin = 0.1

// Limiter counts the requests sent to one server. The zero Limiter has counted
// none. It is not safe for concurrent use.
type Limiter struct {
	sent []time.Time
}

// Share returns how many requests one of the entries may send in any Span of a
// rate that all share, in requests a Span. The rank is the entry's among all for
// the server, from 0.
func Share(rate float64, entries, rank int) int {
	whole, entries := int(rate*(1-margin)), max(entries, 1)
	share := whole / entries
	if rank < whole%entries {
		share++
	}
	return share
}

// Take counts a request and returns true if at most limit requests are then
// counted in the last Span.
func (l *Limiter) Take(now time.Time, limit int) bool {
	if !l.Free(now, limit) {
		return false
	}
	l.sent = append(l.sent, now)
	return true
}

// Free tells whether Take would return true.
func (l *Limiter) Free(now time.Time, limit int) bool {
	kept := l.sent[:0]
	for _, at := range l.sent {
		if now.Sub(at) < Span {
			kept = append(kept, at)
		}
	}
	l.sent = kept
	return len(l.sent) < limit
}
