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
)

type (
	// Key identifies one start of a server.
	Key struct {
		// Server is the server's name.
		Server id.Server
		// StartedAt is the Unix time of the start in milliseconds, 0 if unknown.
		StartedAt int64
	}

	// Table holds the limits of all servers. Its fields must not change after the first
	// call. It is safe for concurrent use.
	Table struct {
		// Log receives a line for each limit that is named, changes or ends.
		Log *slog.Logger

		mu     sync.Mutex
		limits map[Key]*limit
		// size is the number of limits. Requests take no lock while it is 0.
		size atomic.Int64
	}

	// limit is what is known of a server that names a limit, or did recently.
	limit struct {
		rate unit.Rate // 0 if the limit has ended
		at   time.Time // arrival of the newest answer
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
	t.apply(now, now, key, rate, slog.String("answerTo", request))
}

// Rate returns the limit of a server, 0 if it has none.
func (t *Table) Rate(now time.Time, key Key) unit.Rate {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[key]
	if l == nil || now.Sub(l.at) >= retention {
		return 0
	}
	return l.rate
}

// apply applies what an answer that arrived at a time names.
func (t *Table) apply(now, at time.Time, key Key, rate unit.Rate, source slog.Attr) {
	if rate > 0 {
		rate = max(rate, MinRate)
	}
	if rate > MaxRate {
		rate = 0
	}
	l := t.limits[key]
	if l == nil {
		if rate == 0 {
			return
		}
		t.expire(now)
		l = &limit{}
		if t.limits == nil {
			t.limits = make(map[Key]*limit)
		}
		t.limits[key] = l
		t.size.Store(int64(len(t.limits)))
	}
	if at.Before(l.at) {
		return
	}
	before := l.rate
	l.rate, l.at = rate, at
	if rate == before {
		return
	}
	message := "server limit changed"
	switch {
	case before == 0:
		message = "server limit named"
	case rate == 0:
		message = "server limit ended"
	}
	t.Log.Info(message, "server", key.Server, "limit", float64(rate), "before", float64(before), "age", now.Sub(at), source)
}

// expire removes the limits without a recent answer.
func (t *Table) expire(now time.Time) {
	for key, l := range t.limits {
		if now.Sub(l.at) < retention {
			continue
		}
		if l.rate > 0 {
			t.Log.Info("server limit forgotten", "server", key.Server, "limit", float64(l.rate), "age", now.Sub(l.at))
		}
		delete(t.limits, key)
	}
	t.size.Store(int64(len(t.limits)))
}
