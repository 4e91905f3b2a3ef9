// Package coldrate limits the rate at which an entry sends requests to a backend
// server in its slow start.
//
// A cold server handles only a few requests per second from all entries together.
// Entries don't coordinate before a send, so each one has a fixed share of the rate,
// counted over a sliding window of one second. Shares are whole requests; the
// remainder goes to the entries that rank first for the server, so that a server
// whose rate is smaller than the number of entries still gets requests.
//
// # Usage
//
//	var l coldrate.Limiter
//	if l.Take(now, coldrate.Share(30, entries, rank)) {
//		send()
//	}
package coldrate

import "time"

// Span is the length of the sliding window.
const Span = time.Second

// margin is the fraction of the rate that stays unused. It covers requests that are
// delayed on the way and arrive in the same second as later ones.
const margin = 0.1

// Limiter counts the requests sent to one server. The zero Limiter has counted none.
// It is not safe for concurrent use.
type Limiter struct {
	sent []time.Time
}

// Share returns the number of requests that one entry may send in any Span, given the
// rate shared by all entries in requests per Span. The rank is the position of the
// entry among all entries for the server, from 0.
func Share(rate float64, entries, rank int) int {
	whole, entries := int(rate*(1-margin)), max(entries, 1)
	share := whole / entries
	if rank < whole%entries {
		share++
	}
	return share
}

// Take counts a request and returns true, if that makes at most limit requests in the
// last Span.
func (l *Limiter) Take(now time.Time, limit int) bool {
	if !l.Available(now, limit) {
		return false
	}
	l.sent = append(l.sent, now)
	return true
}

// Available reports whether Take would return true.
func (l *Limiter) Available(now time.Time, limit int) bool {
	kept := l.sent[:0]
	for _, at := range l.sent {
		if now.Sub(at) < Span {
			kept = append(kept, at)
		}
	}
	l.sent = kept
	return len(l.sent) < limit
}
