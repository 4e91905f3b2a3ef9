package serverlimit

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// MinRate is the lowest rate of a limit. By one request in 10 s the entries notice
	// that a limit of 0 has ended.
	MinRate unit.Rate = 0.1
	// MaxRate is the highest rate of a limit; a server that names a higher one has none.
	MaxRate unit.Rate = 1e6
	// retention is how long a limit, or its end, is kept without a further answer.
	retention = time.Minute
	// maxServers bounds the number of limits.
	maxServers = 20_000
)

type (
	// Key identifies one start of a server.
	Key struct {
		// Server is the server's name.
		Server id.Server
		// StartedAt is the Unix time of the start in milliseconds, 0 if unknown.
		StartedAt int64
	}

	// Share is how an entry shares a server's limit with the others. With the zero
	// Share, as long as the others aren't known, it may not send anything.
	Share struct {
		// Entries is the number of entries, this one included.
		Entries int
		// Rank is the position of this entry among them for the server, from 0.
		Rank int
	}

	// Table holds the limits of all servers. Its fields must not change after the first
	// call. It is safe for concurrent use.
	Table struct {
		// Log receives a line for each limit that is named, changes or ends.
		Log *slog.Logger
		// Started is the time at which the entry started. An earlier process of it may
		// have used its shares until then.
		Started time.Time

		mu     sync.Mutex
		limits map[Key]*limit
		// size is the number of limits. Requests take no lock while it is 0.
		size atomic.Int64
	}
)

// Observe applies an answer of a server that arrived now, to the given request. The rate
// is 0 if the answer names no limit.
func (t *Table) Observe(now time.Time, key Key, rate unit.Rate, request string) {
	if rate == 0 && t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(key, now, rate, slog.String("answerTo", request), func(l *limit, rate unit.Rate) { l.observe(now, rate) })
}

// Rate returns the limit of a server, 0 if it has none.
func (t *Table) Rate(now time.Time, key Key) unit.Rate {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.current(now, key); l != nil {
		return l.rate
	}
	return 0
}

// ShareRate returns the part of a server's limit that the entry may use, 0 if it has no
// part or the server no limit.
func (t *Table) ShareRate(now time.Time, key Key, share func() Share) unit.Rate {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.current(now, key)
	if l == nil {
		return 0
	}
	s := share()
	own := quota(l.rate).Share(s.Entries, s.Rank)
	return unit.Rate(float64(own.Requests) / own.Span.Seconds())
}

// Next returns the earliest time at which Take returns true, as far as is known now. It
// calls share only for a server with a limit.
func (t *Table) Next(now time.Time, key Key, share func() Share) time.Time {
	if t.size.Load() == 0 {
		return now
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.current(now, key); l != nil {
		return l.next(now, t.Started, share())
	}
	return now
}

// Take counts a request to a server and returns true, if the entry may send it one.
func (t *Table) Take(now time.Time, key Key, share func() Share) bool {
	if t.size.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.current(now, key)
	if l == nil {
		return true
	}
	s := share()
	if l.next(now, t.Started, s).After(now) {
		return false
	}
	l.count(now, s)
	return true
}

// current returns what is known of a server that has a limit, else nil.
func (t *Table) current(now time.Time, key Key) *limit {
	l := t.limits[key]
	if l == nil {
		return nil
	}
	t.change(key, l, now, slog.Duration("heldBack", raiseDelay), func() { l.settle(now) })
	if l.rate == 0 || now.Sub(l.heard) >= retention {
		return nil
	}
	return l
}

// apply changes what is known of a server by an answer, or a report of one, with the rate,
// and logs the change with its source.
func (t *Table) apply(key Key, now time.Time, rate unit.Rate, source slog.Attr, change func(*limit, unit.Rate)) {
	switch {
	case rate > MaxRate:
		rate = 0
	case rate > 0:
		rate = max(rate, MinRate)
	}
	l := t.limits[key]
	if l == nil {
		if l = t.add(now, key, rate); l == nil {
			return
		}
	}
	t.change(key, l, now, source, func() { change(l, rate) })
}

// change changes what is known of a server, and logs the difference with its source.
func (t *Table) change(key Key, l *limit, now time.Time, source slog.Attr, do func()) {
	before, heard := l.rate, l.heard
	do()
	if l.rate == before {
		return
	}
	message := "server limit changed"
	switch {
	case before == 0:
		message = "server limit named"
	case l.rate == 0:
		message = "server limit ended"
	}
	t.Log.Info(message, "server", key.Server, "limit", float64(l.rate), "before", float64(before), "ageBefore", age(now, heard), source)
}

// age returns the time since a limit was heard of, 0 if it never was.
func age(now, heard time.Time) time.Duration {
	if heard.IsZero() {
		return 0
	}
	return now.Sub(heard)
}

// add adds a server that names a limit; it returns nil if it names none, or if there are
// too many.
func (t *Table) add(now time.Time, key Key, rate unit.Rate) *limit {
	if rate == 0 {
		return nil
	}
	t.expire(now)
	if len(t.limits) >= maxServers {
		t.Log.Warn("server limit not kept", "server", key.Server, "limit", float64(rate), "limits", len(t.limits))
		return nil
	}
	if t.limits == nil {
		t.limits = make(map[Key]*limit)
	}
	l := &limit{}
	t.limits[key] = l
	t.size.Store(int64(len(t.limits)))
	return l
}

// expire removes the limits without a recent answer.
func (t *Table) expire(now time.Time) {
	for key, l := range t.limits {
		if now.Sub(l.heard) < retention {
			continue
		}
		if l.rate > 0 {
			t.Log.Info("server limit forgotten", "server", key.Server, "limit", float64(l.rate), "age", now.Sub(l.heard))
		}
		delete(t.limits, key)
	}
	t.size.Store(int64(len(t.limits)))
}
