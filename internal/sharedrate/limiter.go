// Package sharedrate limits the rate at which an entry sends requests to a backend
// server that takes a limited number from all entries together.
//
// Entries don't coordinate before a send, so each one has a fixed share of the quota,
// counted over a sliding window. Shares are whole requests, so that the sum over all
// entries holds in every window; the remainder goes to the entries that rank first for
// the server, so that a server whose quota is smaller than the number of entries still
// gets requests.
//
// # Usage
//
//	var l sharedrate.Limiter
//	quota := sharedrate.Quota{Requests: 27, Span: time.Second}
//	if l.Take(now, quota.Share(entries, rank)) {
//		send()
//	}
package sharedrate

import "time"

type (
	// Quota is the number of requests that may be sent in any window of a length.
	Quota struct {
		// Requests is the number of requests.
		Requests int
		// Span is the length of the window.
		Span time.Duration
	}

	// Limiter counts the requests sent to one server. The zero Limiter has counted none.
	// It is not safe for concurrent use.
	Limiter struct {
		sent []time.Time
	}
)

// Share returns the part of the quota of all entries that one entry may use. The rank
// is the position of the entry among all entries for the server, from 0.
func (q Quota) Share(entries, rank int) Quota {
	entries = max(entries, 1)
	share := q.Requests / entries
	if rank < q.Requests%entries {
		share++
	}
	return Quota{Requests: share, Span: q.Span}
}

// Take counts a request and returns true, if the quota allows it.
func (l *Limiter) Take(now time.Time, quota Quota) bool {
	if !l.Available(now, quota) {
		return false
	}
	l.sent = append(l.sent, now)
	return true
}

// Available reports whether Take would return true.
func (l *Limiter) Available(now time.Time, quota Quota) bool {
	kept := l.sent[:0]
	for _, at := range l.sent {
		if now.Sub(at) < quota.Span {
			kept = append(kept, at)
		}
	}
	l.sent = kept
	return len(l.sent) < quota.Requests
}

// Next returns the earliest time at which Take returns true, given at least one request
// in the quota.
func (l *Limiter) Next(now time.Time, quota Quota) time.Time {
	if l.Available(now, quota) || quota.Requests == 0 {
		return now
	}
	return l.sent[len(l.sent)-quota.Requests].Add(quota.Span)
}
