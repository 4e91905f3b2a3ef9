package forward

import (
	"context"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/crashcheck"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// abandonedCheckInterval is the interval of checks whether a server has ended while it
	// was at work on abandoned requests. Servers that crash are back after seconds.
	abandonedCheckInterval = time.Second
	// maxAbandoned bounds the requests that are remembered of a server.
	maxAbandoned = 64
)

// abandonedRequests holds the requests whose connections were closed while their servers may
// have been at work on them, so that nothing else tells of a crash.
type abandonedRequests struct {
	mu       sync.Mutex
	byServer map[id.Server][]*suspect
}

// abandon checks for a while whether a server ends that was at work on a request.
func (h *Handler) abandon(m *roster.Member, s *suspect) {
	if earliest := time.Now().Add(abandonedCheckInterval); s.until.Before(earliest) {
		s.until = earliest
	}
	if h.abandoned.add(m.Name, s) {
		time.AfterFunc(abandonedCheckInterval, func() { h.checkAbandoned(m) })
	}
}

// checkAbandoned records a crash for the abandoned requests of a server, if it has ended, and
// checks again later while any may be at work.
func (h *Handler) checkAbandoned(m *roster.Member) {
	switch current := h.Dispatcher.Roster.View().Member(m.Service, m.Name); {
	case current == nil:
		h.abandoned.remove(m.Name) // it is leaving or gone, and may end as planned
		return
	case m.StartedAt != 0 && current.StartedAt != m.StartedAt:
		// Connections are those of a later process of the server.
		for _, s := range h.abandoned.remove(m.Name) {
			h.recordCrash(s)
		}
		return
	}
	verdict := crashcheck.Alive
	if !h.Upstream.HasOpen(m.Address) {
		verdict = h.CrashChecks.Check(context.Background(), checkTarget(m), h.comparedWith(m))
	}
	switch verdict {
	case crashcheck.Ended:
		h.Dispatcher.Roster.RecordEnd(time.Now(), m)
		for _, s := range h.abandoned.remove(m.Name) {
			h.recordCrash(s)
		}
		return
	case crashcheck.Unknown:
		h.Log.Info("backend server out of reach, no crash recorded for abandoned requests", "server", m.Name, "requests", h.abandoned.count(m.Name), "verdict", verdict)
	}
	if h.abandoned.expire(time.Now(), m.Name) {
		time.AfterFunc(abandonedCheckInterval, func() { h.checkAbandoned(m) })
	}
}

// add reports whether the request is the first of its server.
func (a *abandonedRequests) add(server id.Server, s *suspect) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byServer == nil {
		a.byServer = make(map[id.Server][]*suspect)
	}
	list := a.byServer[server]
	if len(list) < maxAbandoned {
		a.byServer[server] = append(list, s)
	}
	return len(list) == 0
}

func (a *abandonedRequests) count(server id.Server) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byServer[server])
}

func (a *abandonedRequests) remove(server id.Server) []*suspect {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.byServer[server]
	delete(a.byServer, server)
	return list
}

// expire removes the requests on which the server has stopped work, and reports whether any
// are left.
func (a *abandonedRequests) expire(now time.Time, server id.Server) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var left []*suspect
	for _, s := range a.byServer[server] {
		if now.Before(s.until) {
			left = append(left, s)
		}
	}
	if len(left) == 0 {
		delete(a.byServer, server)
		return false
	}
	a.byServer[server] = left
	return true
}
