package routing

import (
	"net/netip"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/ramp"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// serverState is the state of a server that a table depends on.
type serverState struct {
	verdict health.Verdict
	ramp    float64
	leaving bool
}

// server is the state of one backend server.
type server struct {
	mu      sync.Mutex
	address netip.AddrPort
	leaving bool
	health  health.Tracker
	ramp    ramp.Ramp
	probe   measured.Value[bool]
	report  measured.Value[health.Report]
	warmth  measured.Value[float64]
	latency time.Duration
	answers int
}

// addressChanged reports whether the address of the server has changed, so that
// its name identifies another server.
func (s *server) addressChanged(conf *service.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address != conf.Address
}

func (s *server) configure(now time.Time, conf *service.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving && !conf.Leaving {
		s.ramp.Start(now)
	}
	s.address, s.leaving = conf.Address, conf.Leaving
}

func (s *server) state(now time.Time) serverState {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, _ := s.health.MaySend(now, s.probe, s.report)
	return serverState{verdict: v, ramp: s.ramp.Level(), leaving: s.leaving}
}

// begin reports whether a request may be sent now, and records it if it is a
// trial. If allowUnproven is set, a running trial doesn't block requests to a
// server without evidence of a failure.
func (s *server) begin(now time.Time, allowUnproven bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	switch v, _ := s.health.MaySend(now, s.probe, s.report); v {
	case health.Yes:
		return true
	case health.Trial:
		s.health.BeginTrial(now)
		return true
	default:
		return allowUnproven && s.health.Unproven(now, s.probe, s.report)
	}
}

// observe records the outcome of an attempt. A server that answers after it was
// unhealthy has most likely been restarted, so its slow start begins.
func (s *server) observe(now time.Time, o admission.Outcome) {
	event := health.EventOf(o.Code)
	s.mu.Lock()
	defer s.mu.Unlock()
	wasEjected := s.health.Ejected()
	s.health.Observe(now, event)
	if wasEjected && !s.health.Ejected() {
		s.ramp.Start(now)
	}
	switch event {
	case health.Answered:
		s.answered(o.Latency)
	case health.Neutral, health.TimedOut:
	default:
		s.ramp.Refused()
	}
}

func (s *server) answered(latency time.Duration) {
	if latency <= 0 {
		return
	}
	s.ramp.Answered(latency)
	if s.ramp.Level() == 1 {
		s.latency += latency
		s.answers++
	}
}

func (s *server) step(now time.Time, warm measured.Value[time.Duration]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ramp.Step(now, warm, s.warmth)
}

func (s *server) takeLatency() (sum time.Duration, answers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, answers = s.latency, s.answers
	s.latency, s.answers = 0, 0
	return sum, answers
}

// reported returns the load report of the server and its age. It returns false
// if the report is invalid or not fresh.
func (s *server) reported(now time.Time) (health.Report, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report, state := s.report.Read(now, health.MaxAge)
	age, _ := s.report.Age(now)
	return report, age, state == measured.Fresh && report.Running >= 0
}
