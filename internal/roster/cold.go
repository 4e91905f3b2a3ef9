package roster

import (
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Sources of the knowledge that a server is cold, in logs.
const (
	registered     coldSource = "registration"
	evacuationOver coldSource = "evacuationEnded"
	reachedAgain   coldSource = "reachedAgain"
	healthCheck    coldSource = "healthCheck"
)

// coldTolerance is by how much statements of the rest of a slow start differ because of the time
// that they take, those that are repeated included.
const coldTolerance = 300 * time.Millisecond

type coldSource string

// ObserveCold records that a health check of a server, by this entry or another, has said that
// it is cold for some time. It reports whether the server was not known to be cold for so long.
func (r *Roster) ObserveCold(now time.Time, name id.Server, startedAt int64, left time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[name]
	if m == nil || m.StartedAt != startedAt || left <= m.ColdLeft(now)+coldTolerance {
		return false
	}
	m.hold(now)
	m.setCold(now, now.Add(left), healthCheck)
	return true
}

// hold keeps requests from a server that is found to be cold, but was not known to be so. All
// entries have sent it requests as to a warm server until now, which count toward the rate of
// a cold one for the length of a window.
func (m *Member) hold(now time.Time) {
	s := m.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.coldUntil) {
		s.heldUntil = now.Add(ColdSpan)
	}
}

// setCold treats the server as cold until a time.
func (m *Member) setCold(now, until time.Time, from coldSource) {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	m.extendCold(now, until, from)
}

// extendCold is like setCold. The caller holds the state's lock.
func (m *Member) extendCold(now, until time.Time, from coldSource) {
	s := m.state
	if !now.Before(s.coldUntil) && until.After(now) {
		m.zone.log.Info("backend server cold", "server", m.Name, "service", m.Service, "for", until.Sub(now), "source", from)
	}
	s.coldUntil = later(s.coldUntil, until)
}
