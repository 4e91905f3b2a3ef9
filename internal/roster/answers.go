package roster

import (
	"math/rand/v2"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// MaxAway is the longest time for which a server may turn requests away at once.
	MaxAway = time.Hour
	// returnSpread is the fraction by which an entry extends the time at random, so that
	// not all entries return to the server at the same moment.
	returnSpread = 0.1
)

// ObserveLeaving records that an answer of a server to a request has said that the server
// is leaving. It gets no more requests of this entry until its next start, whatever its
// registration says.
func (r *Roster) ObserveLeaving(m *Member, request string) {
	if m.AnsweredLeaving() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.sameStart(m)
	for _, s := range []*state{m.state, current.state} {
		s.mu.Lock()
		s.leaving = true
		s.mu.Unlock()
	}
	r.Log.Info("backend server leaving by its answer", "server", m.Name, "request", request, "startedAt", m.StartedAt, "registeredLeaving", m.Leaving)
	if r.members[m.Name] == current {
		r.publishOne(current, m.Name)
	}
}

// sameStart returns the present registration of m's server if it is of the same start, and m
// otherwise: m may come from an older view. The caller holds the lock.
func (r *Roster) sameStart(m *Member) *Member {
	current := r.members[m.Name]
	if current == nil || current.StartedAt != m.StartedAt || m.StartedAt == 0 && current.state != m.state {
		return m
	}
	return current
}

// ObserveAway records that a server has turned a request away and wants no others of
// this entry for a time, at most [MaxAway].
func (r *Roster) ObserveAway(now time.Time, m *Member, away time.Duration, request string) {
	away = min(away, MaxAway)
	until := now.Add(away + time.Duration(rand.Float64()*returnSpread*float64(away)))
	r.mu.Lock()
	current := r.sameStart(m)
	r.mu.Unlock()
	known := m.Away(now) > 0
	for _, s := range []*state{m.state, current.state} {
		s.mu.Lock()
		s.awayUntil = later(s.awayUntil, until)
		s.mu.Unlock()
	}
	if !known && away > 0 {
		r.Log.Info("backend server wants no requests", "server", m.Name, "request", request, "for", away, "until", until)
	}
}

// takeOver takes over what is known of the same start of the server, by its registration or
// by one that has ended. At another address, only what the server has said of itself holds.
func (m *Member) takeOver(old *Member, before *ended) {
	if old == nil && before != nil {
		old = before.member
	}
	if old == nil || old.StartedAt != m.StartedAt {
		return
	}
	if old.Service == m.Service && old.Address == m.Address {
		m.state = old.state
		return
	}
	if m.StartedAt != 0 { // otherwise the start is unknown
		old.state.mu.Lock()
		defer old.state.mu.Unlock()
		m.state.leaving, m.state.awayUntil = old.state.leaving, old.state.awayUntil
	}
}

// ObserveRelayedLeaving is like ObserveLeaving for an answer that another entry has given.
func (r *Roster) ObserveRelayedLeaving(name id.Server, request string) {
	r.mu.Lock()
	m := r.members[name]
	r.mu.Unlock()
	if m != nil {
		r.ObserveLeaving(m, request)
	}
}
