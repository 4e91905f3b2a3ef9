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
	// endCheckInterval is the interval of checks whether the server of suspects has ended.
	// Servers that crash are back after seconds.
	endCheckInterval = time.Second
	// maxSuspects bounds the requests that are remembered of a process.
	maxSuspects = 64
)

type (
	// suspects holds requests during or right after which their servers may end unnoticed:
	// those whose connections were closed while the servers may have been at work on them,
	// and those that the servers failed. It is safe for concurrent use.
	suspects struct {
		mu        sync.Mutex
		byProcess map[process][]*suspect
	}

	// process is one start of a server.
	process struct {
		server    id.Server
		startedAt int64
	}
)

func processOf(m *roster.Member) process { return process{m.Name, m.StartedAt} }

// watch checks for a while whether the server of a request ends.
func (h *Handler) watch(m *roster.Member, s *suspect) {
	if earliest := time.Now().Add(endCheckInterval); s.until.Before(earliest) {
		s.until = earliest
	}
	if h.suspects.add(processOf(m), s) {
		time.AfterFunc(endCheckInterval, func() { h.checkSuspects(m) })
	}
}

// checkSuspects records a crash for the suspects of a server, if it has ended, and checks again
// later while it may be at work for any of them.
func (h *Handler) checkSuspects(m *roster.Member) {
	of := processOf(m)
	switch current := h.Dispatcher.Roster.View().Member(m.Service, m.Name); {
	case current == nil:
		h.suspects.remove(of) // it is leaving or gone, and may end as planned
		return
	case m.StartedAt != 0 && current.StartedAt != m.StartedAt:
		// Connections are those of a later process of the server.
		h.recordCrashes(of, crashcheck.Ended)
		return
	}
	verdict := crashcheck.Alive
	if !h.Upstream.HasOpen(m.Address) {
		verdict = h.CrashChecks.Check(context.Background(), checkTarget(m), h.comparedWith(m))
	}
	switch {
	case ended(verdict):
		h.Dispatcher.Roster.RecordEnd(time.Now(), m)
		h.recordCrashes(of, verdict)
		return
	case verdict == crashcheck.Unknown:
		h.Log.Info("backend server out of reach, no crash recorded for its requests", "server", m.Name, "requests", h.suspects.count(of), "verdict", verdict)
	}
	if h.suspects.expire(time.Now(), of) {
		time.AfterFunc(endCheckInterval, func() { h.checkSuspects(m) })
	}
}

// recordCrashes records a crash for the suspects of a process, with the verdict on it.
func (h *Handler) recordCrashes(of process, verdict crashcheck.Verdict) {
	for _, s := range h.suspects.remove(of) {
		h.recordCrash(s, verdict)
	}
}

// add reports whether the request is the first of its server's process.
func (a *suspects) add(of process, s *suspect) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byProcess == nil {
		a.byProcess = make(map[process][]*suspect)
	}
	list := a.byProcess[of]
	if len(list) < maxSuspects {
		a.byProcess[of] = append(list, s)
	}
	return len(list) == 0
}

func (a *suspects) count(of process) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byProcess[of])
}

func (a *suspects) remove(of process) []*suspect {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.byProcess[of]
	delete(a.byProcess, of)
	return list
}

// expire removes the requests that the server has stopped work on, and reports whether any
// are left.
func (a *suspects) expire(now time.Time, of process) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var left []*suspect
	for _, s := range a.byProcess[of] {
		if now.Before(s.until) {
			left = append(left, s)
		}
	}
	if len(left) == 0 {
		delete(a.byProcess, of)
		return false
	}
	a.byProcess[of] = left
	return true
}
