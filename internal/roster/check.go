package roster

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// DueChecks returns the servers that are due for an active connection check, so that no
// request has to detect whether they are reachable again: servers whose last
// connection failed, and one server at a time of each unreachable zone. The caller
// reports the results to [Roster.RecordCheck]. DueChecks is called several times a
// second.
func (r *Roster) DueChecks(now time.Time) []*Member {
	var due []*Member
	zones := make(map[id.Zone][]*Member)
	for _, list := range r.View().services {
		for _, m := range list {
			switch {
			case !m.zone.ok():
				zones[m.Zone] = append(zones[m.Zone], m)
			case m.startCheck(now):
				due = append(due, m)
			}
		}
	}
	for _, members := range zones {
		if i := members[0].zone.nextCheck(now, len(members)); i >= 0 {
			due = append(due, members[i])
		}
	}
	return due
}

// RecordCheck records whether a checked server accepted a connection.
func (r *Roster) RecordCheck(now time.Time, m *Member, ok bool) {
	m.finishCheck(now, ok)
	if !ok {
		m.zone.connectFailed(now, m.Name)
		return
	}
	r.Log.Info("backend server reached again", "server", m.Name, "zone", m.Zone)
	m.zone.succeeded(now)
}

// RecordEnd records that a server has ended. It gets no request until it takes a
// connection again.
func (r *Roster) RecordEnd(now time.Time, m *Member) {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	m.state.ended = true
	if !m.state.connectFailed.IsZero() && m.state.health.Ejected() {
		return
	}
	m.state.connectFailed, m.state.missedAt = now, now
	m.state.health.Observe(now, health.ConnectFailed)
}

// Ended reports whether the server is known to have ended, and not just to be out of reach.
func (m *Member) Ended() bool {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.ended
}

// startCheck reports whether the server is due for a check, and marks the check as
// running.
func (m *Member) startCheck(now time.Time) bool {
	s := m.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connectFailed.IsZero() || s.checking {
		return false
	}
	v, _ := s.verdict(now)
	s.checking = v == health.Trial || v == health.No && m.zone.recoveredSince(s.connectFailed)
	return s.checking
}

func (m *Member) finishCheck(now time.Time, ok bool) {
	s := m.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checking = false
	if ok {
		s.connectFailed, s.missedAt, s.ended = time.Time{}, time.Time{}, false
		s.health.Reached(now)
		return
	}
	s.connectFailed, s.missedAt = now, now
	s.health.Observe(now, health.ConnectFailed)
}

// Reachable reports whether the server accepts connections, according to this entry's
// requests and checks.
func (m *Member) Reachable() bool {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.zone.ok() && (m.state.connectFailed.IsZero() || !m.state.health.Ejected())
}

// Missed reports whether the server accepts no new connections, according to this entry's
// requests and checks. It may still answer over connections that are open.
func (m *Member) Missed(now time.Time) bool {
	if !m.Reachable() {
		return true
	}
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return !m.state.missedAt.IsZero() && now.Sub(m.state.missedAt) < missedFor
}
