package roster

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/coldrate"
	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/owner"
)

type (
	// Member is a backend server in a view.
	Member struct {
		Server
		// Seed stands for the server in rankings.
		Seed uint64

		lapses  time.Time
		cold    Service
		entries int
		state   *state
	}

	// state is what this entry's requests met at one start of a server.
	state struct {
		mu       sync.Mutex
		inFlight int
		opinion  health.Opinion
		cold     time.Time
		rate     coldrate.Limiter
	}
)

func newMember(s Server) *Member {
	return &Member{Server: s, Seed: owner.Seed(s.Name), state: &state{}}
}

// InFlight returns how many requests of this entry the server has.
func (m *Member) InFlight() int {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.inFlight
}

// Cold tells whether the server is cold.
func (m *Member) Cold(now time.Time) bool {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return now.Before(m.state.cold)
}

// Ready tells whether a request may be begun now, as far as the server's health
// and its cold rate go.
func (m *Member) Ready(now time.Time) bool {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.ready(now, m)
}

// Begin counts a request, if one may be begun now.
func (m *Member) Begin(now time.Time) bool {
	s := m.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready(now, m) {
		return false
	}
	if now.Before(s.cold) && !s.rate.Take(now, m.coldLimit()) {
		return false
	}
	if v, _ := s.verdict(now); v == health.Trial {
		s.opinion.BeginTrial(now)
	}
	s.inFlight++
	return true
}

// End takes in what a begun request met.
func (m *Member) End(now time.Time, e health.Event) {
	s := m.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if e == health.Answered && s.opinion.Out() {
		// A server that could not be reached may have been started anew.
		s.cold = later(s.cold, now.Add(m.cold.ColdTime))
	}
	s.opinion.Observe(now, e)
}

// coldLimit returns how many requests this entry may send in a second while the
// server is cold.
func (m *Member) coldLimit() int { return coldrate.Share(m.cold.ColdRate, m.entries) }

func (s *state) ready(now time.Time, m *Member) bool {
	if v, _ := s.verdict(now); v == health.No {
		return false
	}
	return !now.Before(s.cold) || s.rate.Free(now, m.coldLimit())
}

// verdict is the health's, where nothing known counts as well.
func (s *state) verdict(now time.Time) (health.Verdict, time.Duration) {
	var (
		probe  measured.Value[bool]
		report measured.Value[health.Report]
	)
	v, wait := s.opinion.MaySend(now, probe, report)
	if v == health.Trial && s.opinion.Unproven(now, probe, report) {
		return health.Yes, 0
	}
	return v, wait
}

func (s *state) chill(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = later(s.cold, until)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
