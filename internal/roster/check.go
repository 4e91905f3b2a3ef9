package roster

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Checks returns the servers whose reach is to be checked by a new connection, so
// that no request has to find out: those that took none lately, and in turn those
// of a zone that is out of reach. The result is told by Checked. It is called some
// times a second.
func (r *Roster) Checks(now time.Time) []*Member {
	var due []*Member
	zones := make(map[id.Zone][]*Member)
	for _, list := range r.View().services {
		for _, m := range list {
			switch {
			case !m.reach.open():
				zones[m.Zone] = append(zones[m.Zone], m)
			case m.due(now):
				due = append(due, m)
			}
		}
	}
	for _, members := range zones {
		if i := members[0].reach.check(now, len(members)); i >= 0 {
			due = append(due, members[i])
		}
	}
	return due
}

// Checked takes in whether a server took a connection.
func (r *Roster) Checked(now time.Time, m *Member, ok bool) {
	m.checked(now, ok)
	if !ok {
		m.reach.unreached(now, m.Name)
		return
	}
	r.Log.Info("backend server reached again", "server", m.Name, "zone", m.Zone)
	m.reach.answered(now)
}

// due tells whether the server is to be checked now, and notes that it is.
func (m *Member) due(now time.Time) bool {
	s := m.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missed.IsZero() || s.checking {
		return false
	}
	v, _ := s.verdict(now)
	s.checking = v == health.Trial || v == health.No && m.reach.regainedSince(s.missed)
	return s.checking
}

func (m *Member) checked(now time.Time, ok bool) {
	s := m.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checking = false
	if ok {
		s.missed = time.Time{}
		s.opinion.Reached(now)
		return
	}
	s.missed = now
	s.opinion.Observe(now, health.ConnectFailed)
}

// Reachable tells whether the server takes connections, as far as this entry knows.
func (m *Member) Reachable() bool {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.reach.open() && (m.state.missed.IsZero() || !m.state.opinion.Out())
}
