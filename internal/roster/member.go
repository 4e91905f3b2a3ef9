package roster

import (
	"math"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/outlier"
	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/pace"
	"github.com/shallotpier/shallotpier/internal/serverlimit"
	"github.com/shallotpier/shallotpier/internal/sharedrate"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// ColdSpan is the length of the windows in which requests to a cold server are
	// counted.
	ColdSpan = time.Second
	// coldMargin is the fraction of a cold server's rate that stays unused. It covers
	// requests that are delayed on the way and arrive in the same second as later ones.
	coldMargin = 0.1
	// minLoadHalfLife is the minimum half-life of the reported number of other entries'
	// requests, a few times the duration of a short request.
	minLoadHalfLife = 300 * time.Millisecond
	// missedFor is how long a server counts as missed after a failed connection: longer
	// than the time between two requests that need a new one.
	missedFor = 3 * time.Second
)

type (
	// Member is a backend server in a view.
	Member struct {
		Server
		// Seed identifies the server in rendezvous hashing.
		Seed uint64

		graceEnd time.Time
		// restores is the value of Roster.restores when the registration was applied.
		restores int
		// lost reports that the registration was not removed, but is missing since a
		// restore of the store.
		lost bool
		// ignores reports that the store has an outdated registration, which is
		// ignored.
		ignores  bool
		config   ServiceConfig
		sharing  *sharing
		state    *state
		zone     *reachability
		baseline *baseline
		limits   *serverlimit.Table
	}

	// Load is the number of requests that a server reports for all entries together.
	Load struct {
		// Running is the number of requests that it runs.
		Running int
		// Waiting is the number of requests in its queue.
		Waiting int
		// Pace is how long work takes on its machine now, as a multiple of the usual
		// time; 0 if unknown.
		Pace float64
	}

	// Outcome is the result of a request.
	Outcome struct {
		// Event is the result as far as it concerns the server's health.
		Event health.Event
		// Reached is set if anything answered at the server's address, regardless of
		// Event.
		Reached bool
		// Failed is set if the server refused the request or answered with an error.
		Failed bool
		// LatencyRatio is the latency as a multiple of the baseline; 0 if it is not
		// meaningful.
		LatencyRatio float64
		// Latency is the time to the answer, or the time waited without one; 0 if it
		// is not meaningful.
		Latency time.Duration
		// Load is the server's load report, nil if there was none.
		Load *Load
	}

	// state holds the results of this entry's requests to one incarnation of a
	// server.
	state struct {
		mu        sync.Mutex
		inFlight  int
		health    health.Tracker
		record    outlier.Record
		outlier   bool
		coldUntil time.Time
		// heldUntil is the end of the time without requests after a server that all entries
		// took for warm has become cold.
		heldUntil time.Time
		// leaving is set once an answer has said that the server is leaving.
		leaving bool
		// awayUntil is the end of the time in which the server wants no requests.
		awayUntil time.Time
		limiter   sharedrate.Limiter
		// connectFailed is the time of the last failed connection attempt, zero if
		// the server was reached since. While it is set, a trial request waits for a
		// connection check.
		connectFailed time.Time
		// ended is set once the server is known to have ended, until it takes a connection.
		ended    bool
		checking bool
		// missedAt is the time of the last failed connection attempt, zero if one has
		// succeeded in a check since. An answer over an older connection doesn't clear it.
		missedAt time.Time
		// others is the number of other entries' requests according to the server's
		// last report.
		others   float64
		reported time.Time
		pace     pace.Server
		// rank is the entry's rank among the entries that share the server's rates.
		rank   int
		rankOf *sharing
	}
)

func newMember(s Server, zone *reachability, base *baseline, limits *serverlimit.Table) *Member {
	return &Member{Server: s, Seed: owner.Seed(s.Name), state: &state{}, zone: zone, baseline: base, limits: limits}
}

// ObserveLimit applies the limit that an answer of the server to a request has named, 0
// for none.
func (m *Member) ObserveLimit(now time.Time, rate unit.Rate, request string) {
	m.limits.Observe(now, m.limitKey(), rate, request)
}

// Limit returns the limit that the server has named, 0 if it has none.
func (m *Member) Limit(now time.Time) unit.Rate { return m.limits.Rate(now, m.limitKey()) }

func (m *Member) limitKey() serverlimit.Key {
	return serverlimit.Key{Server: m.Name, StartedAt: m.StartedAt}
}

// coldShare returns this entry's share of the rate of the server while it is cold: none
// until the other entries are known.
func (m *Member) coldShare() sharedrate.Quota {
	if !m.sharing.known {
		return sharedrate.Quota{Span: ColdSpan}
	}
	bound := m.config.ColdRate*m.sharing.bound.Overshoot + m.sharing.bound.Allowance
	quota := sharedrate.Quota{Requests: int(bound * (1 - coldMargin)), Span: ColdSpan}
	return quota.Share(len(m.sharing.others)+1, m.rank())
}

// limitShare returns how this entry shares the server's limit with the others.
func (m *Member) limitShare() serverlimit.Share {
	if !m.sharing.known {
		return serverlimit.Share{}
	}
	return serverlimit.Share{Entries: len(m.sharing.others) + 1, Rank: m.rank()}
}

// rank returns the number of other entries that rank above this one for the server. The
// caller holds the state's lock.
func (m *Member) rank() int {
	if s := m.state; s.rankOf != m.sharing {
		s.rankOf, s.rank = m.sharing, m.sharing.rank(m.Seed)
	}
	return m.state.rank
}

// Away returns for how much longer the server wants no requests of this entry, 0 if it
// takes them.
func (m *Member) Away(now time.Time) time.Duration {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return max(m.state.awayUntil.Sub(now), 0)
}

// AnsweredLeaving reports whether an answer has said that the server is leaving.
func (m *Member) AnsweredLeaving() bool {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.leaving
}

// InFlight returns the number of this entry's requests at the server.
func (m *Member) InFlight() int {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.inFlight
}

// Cold reports whether the server is cold.
func (m *Member) Cold(now time.Time) bool {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return now.Before(m.state.coldUntil)
}

// ColdLeft returns how much longer the server is cold, 0 if it is not.
func (m *Member) ColdLeft(now time.Time) time.Duration {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return max(m.state.coldUntil.Sub(now), 0)
}

// EstimatedRequests estimates the number of requests of all entries at the server, from its last
// report, this entry's own count, and the mean load of its service.
func (m *Member) EstimatedRequests(now time.Time) float64 {
	load, work := m.baseline.mean(now)
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.busy(now, load*float64(m.Slots), m.loadHalfLife(work))
}

// ExpectedLatency estimates the latency of one more request, 0 if nothing is known.
func (m *Member) ExpectedLatency(now time.Time) time.Duration {
	expected := m.baseline.expected(m.EstimatedRequests(now) / float64(m.Slots))
	return time.Duration(float64(expected) * m.Pace(now))
}

// loadHalfLife returns the half-life of the reported number of other entries'
// requests: half of the time that the server needs to complete them.
func (m *Member) loadHalfLife(work time.Duration) time.Duration {
	return max(minLoadHalfLife, time.Duration(m.state.others/float64(m.Slots)*float64(work)/2))
}

// Outlier reports whether the server fails much more often or is much slower than the
// mean of its service.
func (m *Member) Outlier() bool {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.outlier
}

// Ready reports whether the server's health, its cold rate, its limit and what it has
// answered allow a request now.
func (m *Member) Ready(now time.Time) bool {
	ready, _ := m.Readiness(now)
	return ready
}

// Readiness is like Ready. If only the server's limit doesn't allow a request, or the
// server wants none for some time, it also returns when it may get one; otherwise the time
// is zero.
func (m *Member) Readiness(now time.Time) (ready bool, next time.Time) {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	if !m.state.ready(now, m) {
		return false, time.Time{}
	}
	next = later(m.limits.Next(now, m.limitKey(), m.limitShare), m.state.awayUntil)
	if next.After(now) {
		return false, next
	}
	return true, time.Time{}
}

// LimitShare returns the part of the server's limit that this entry may use, 0 if it has
// no part or the server no limit.
func (m *Member) LimitShare(now time.Time) unit.Rate {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.limits.ShareRate(now, m.limitKey(), m.limitShare)
}

// Begin counts a request and returns true, if the server may get one now.
func (m *Member) Begin(now time.Time) bool {
	s := m.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready(now, m) || s.awayUntil.After(now) {
		return false
	}
	if !m.limits.Take(now, m.limitKey(), m.limitShare) {
		return false
	}
	if now.Before(s.coldUntil) && !s.limiter.Take(now, m.coldShare()) {
		return false
	}
	if v, _ := s.verdict(now); v == health.Trial {
		s.health.BeginTrial(now)
	}
	s.inFlight++
	return true
}

// End records the result of a begun request.
func (m *Member) End(now time.Time, o Outcome) {
	s := m.state
	s.mu.Lock()
	defer s.mu.Unlock()
	during := 1.0 // the machine's pace during the request
	switch {
	case o.Load != nil:
		during = m.recordPace(now, &o)
		// The server no longer counts this request, but inFlight still does.
		m.recordLoad(now, float64(o.Load.Running+o.Load.Waiting))
		if o.Latency > 0 {
			m.baseline.answered(time.Duration(float64(o.Latency)/during), float64(o.Load.Running+o.Load.Waiting)/float64(m.Slots))
		}
	case o.Event == health.TimedOut && o.Latency > 0:
		// The request waited for this long, so the server has at least as many
		// requests as take that long.
		if _, work := m.baseline.mean(now); work > 0 {
			m.recordLoad(now, float64(o.Latency)/float64(work)*float64(m.Slots))
		}
	}
	s.inFlight--
	if o.Event == health.Answered && s.health.Ejected() {
		// An unreachable server may have been restarted and is cold again.
		m.extendCold(now, now.Add(m.config.ColdTime), reachedAgain)
	}
	switch {
	case o.Reached, o.Event == health.Answered:
		s.connectFailed, s.ended = time.Time{}, false
		m.zone.succeeded(now)
	case o.Event == health.ConnectFailed:
		s.connectFailed, s.missedAt = now, now
		m.zone.connectFailed(now, m.Name)
	}
	s.health.Observe(now, o.Event)
	if o.Event != health.Neutral {
		s.record.Observe(now, !o.Failed && o.Event == health.Answered, o.LatencyRatio/max(during, 1))
	}
}

// recordLoad records the number of requests of all entries at the server. The caller
// holds the state's lock.
func (m *Member) recordLoad(now time.Time, requests float64) {
	s := m.state
	s.others, s.reported = max(requests-float64(s.inFlight), 0), now
	m.baseline.observe(now, s.others/float64(m.Slots))
}

// busy estimates the number of requests of all entries. The number of other entries'
// requests in the server's last report decays towards mean, the number at an average
// server of the service.
func (s *state) busy(now time.Time, mean float64, halfLife time.Duration) float64 {
	weight := 0.0
	if !s.reported.IsZero() {
		weight = math.Exp2(-float64(now.Sub(s.reported)) / float64(halfLife))
	}
	return float64(s.inFlight) + s.others*weight + mean*(1-weight)
}

func (s *state) stats(now time.Time) outlier.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.Stats(now)
}

func (s *state) setOutlier(now time.Time, mean outlier.Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outlier = s.record.Outlier(now, mean)
}

// ready reports whether the server's health and its cold rate allow a request.
func (s *state) ready(now time.Time, m *Member) bool {
	v, _ := s.verdict(now)
	if s.leaving || now.Before(s.heldUntil) || v == health.No || v == health.Trial && !s.connectFailed.IsZero() || !m.zone.ok() {
		return false
	}
	return !now.Before(s.coldUntil) || s.limiter.Available(now, m.coldShare())
}

// verdict returns the health verdict, but allows requests to a server of which
// nothing is known yet.
func (s *state) verdict(now time.Time) (health.Verdict, time.Duration) {
	var (
		probe  measured.Value[bool]
		report measured.Value[health.Report]
	)
	v, wait := s.health.MaySend(now, probe, report)
	if v == health.Trial && s.health.Unproven(now, probe, report) {
		return health.Yes, 0
	}
	return v, wait
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
