package roster

import (
	"math"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/coldrate"
	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/outlier"
	"github.com/shallotpier/shallotpier/internal/owner"
)

// loadFade is the least time in which half of what a server reported of other
// entries' requests is forgotten: a few times what a short request takes.
const loadFade = 300 * time.Millisecond

type (
	// Member is a backend server in a view.
	Member struct {
		Server
		// Seed stands for the server in rankings.
		Seed uint64

		lapses  time.Time
		cold    Service
		sharing *sharing
		state   *state
		reach   *reach
		pace    *pace
	}

	// Load is a server's own count of its requests, of all entries.
	Load struct {
		// Running is how many it runs.
		Running int
		// Waiting is how many it has queued.
		Waiting int
	}

	// Outcome is what a request met.
	Outcome struct {
		// Event is what it says of the server's health.
		Event health.Event
		// Reached tells that something answered at the server's address, whatever
		// Event says.
		Reached bool
		// Failed tells that the server refused it or answered with an error.
		Failed bool
		// Times is how long the answer took as a multiple of the usual; 0 if
		// that says nothing.
		Times float64
		// Latency is how long the answer took, or how long there was none; 0 if
		// that says nothing.
		Latency time.Duration
		// Load is what the server reported; nil if nothing.
		Load *Load
	}

	// state is what this entry's requests met at one start of a server.
	state struct {
		mu       sync.Mutex
		inFlight int
		opinion  health.Opinion
		record   outlier.Record
		outlier  bool
		cold     time.Time
		rate     coldrate.Limiter
		// missed is when the server last took no connection; zero if it was
		// reached since. A trial waits for a check then.
		missed   time.Time
		checking bool
		// others is how many requests of other entries the server had by its
		// last report.
		others   float64
		reported time.Time
	}
)

func newMember(s Server, path *reach, usual *pace) *Member {
	return &Member{Server: s, Seed: owner.Seed(s.Name), state: &state{}, reach: path, pace: usual}
}

// coldLimit returns how many requests this entry may send in a second while the
// server is cold: none while it doesn't know the others.
func (m *Member) coldLimit() int {
	if !m.sharing.known {
		return 0
	}
	bound := m.cold.ColdRate*m.sharing.bound.Overshoot + m.sharing.bound.Allowance
	return coldrate.Share(bound, len(m.sharing.others)+1, m.sharing.rank(m.Seed))
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

// coldLeft returns how much longer the server is cold.
func (m *Member) coldLeft(now time.Time) time.Duration {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return max(m.state.cold.Sub(now), 0)
}

// Busy estimates how many requests of all entries the server has, from its last
// report, this entry's own count, and the usual load of its service.
func (m *Member) Busy(now time.Time) float64 {
	usual, work := m.pace.usual(now)
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.busy(now, usual*float64(m.Slots), m.fade(work))
}

// Expected estimates how long one more request would take, 0 if nothing is known.
func (m *Member) Expected(now time.Time) time.Duration {
	return m.pace.expected(m.Busy(now) / float64(m.Slots))
}

// fade returns the time in which half of what is known of other entries' requests
// is forgotten: half of the time in which the server works them off.
func (m *Member) fade(work time.Duration) time.Duration {
	return max(loadFade, time.Duration(m.state.others/float64(m.Slots)*float64(work)/2))
}

// Outlier tells whether the server fails or lags in comparison with its service.
func (m *Member) Outlier() bool {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.outlier
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
func (m *Member) End(now time.Time, o Outcome) {
	s := m.state
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Load != nil:
		// The request itself is over for the server, but counted here.
		m.loaded(now, float64(o.Load.Running+o.Load.Waiting))
		if o.Latency > 0 {
			m.pace.answered(o.Latency, float64(o.Load.Running+o.Load.Waiting)/float64(m.Slots))
		}
	case o.Event == health.Silent && o.Latency > 0:
		// The server has at least as many requests as take that long.
		if _, work := m.pace.usual(now); work > 0 {
			m.loaded(now, float64(o.Latency)/float64(work)*float64(m.Slots))
		}
	}
	s.inFlight--
	if o.Event == health.Answered && s.opinion.Out() {
		// A server that could not be reached may have been started anew.
		s.cold = later(s.cold, now.Add(m.cold.ColdTime))
	}
	switch {
	case o.Reached, o.Event == health.Answered:
		s.missed = time.Time{}
		m.reach.answered(now)
	case o.Event == health.ConnectFailed:
		s.missed = now
		m.reach.unreached(now, m.Name)
	}
	s.opinion.Observe(now, o.Event)
	if o.Event != health.Nothing {
		s.record.Observe(now, !o.Failed && o.Event == health.Answered, o.Times)
	}
}

// loaded takes in how many requests of all entries the server has. The caller
// holds the state's lock.
func (m *Member) loaded(now time.Time, requests float64) {
	s := m.state
	s.others, s.reported = max(requests-float64(s.inFlight), 0), now
	m.pace.observe(now, s.others/float64(m.Slots))
}

// busy estimates the requests of all entries. The server's last report fades into
// what is usual for other entries.
func (s *state) busy(now time.Time, usual float64, fade time.Duration) float64 {
	known := 0.0
	if !s.reported.IsZero() {
		known = math.Exp2(-float64(now.Sub(s.reported)) / float64(fade))
	}
	return float64(s.inFlight) + s.others*known + usual*(1-known)
}

func (s *state) seen(now time.Time) outlier.Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.Seen(now)
}

func (s *state) judge(now time.Time, mean outlier.Seen) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outlier = s.record.Outlier(now, mean)
}

func (s *state) ready(now time.Time, m *Member) bool {
	v, _ := s.verdict(now)
	if v == health.No || v == health.Trial && !s.missed.IsZero() || !m.reach.open() {
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
