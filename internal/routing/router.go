package routing

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/placement"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	// Router orders backend servers for the requests of one entry. Its
	// exported fields must be set before its first use. It is safe for
	// concurrent use.
	Router struct {
		// Deployment is the deployment.
		Deployment *deployment.Deployment
		// Zone is the entry's own availability zone.
		Zone id.Zone
		// Inner grants slots, in the order given by Order.
		Inner admission.Admitter
		// Draw returns uniformly distributed random numbers. It must be safe
		// for concurrent use. nil means rand.Uint64.
		Draw func() uint64

		mu       sync.Mutex // serializes writers of services
		services atomic.Pointer[map[id.Service]*routes]
	}
)

// Configure activates service files, in which leaving servers are marked. A
// server begins with a slow start if it is new in an already configured service,
// has a new address, or is no longer leaving.
func (r *Router) Configure(files []*service.File, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.load()
	next := make(map[id.Service]*routes, len(files))
	for _, f := range files {
		s := old[f.Service]
		if s == nil {
			s = newRoutes()
		}
		s.configure(now, r, f)
		next[f.Service] = s
	}
	r.services.Store(&next)
}

// Step updates the splits and slow starts and rebuilds the tables that changed.
// loads returns the loads of a service's regions, each a share of the region's
// slots; if it is nil, the loads are computed from the servers' reports.
func (r *Router) Step(now time.Time, loads func(*service.File) map[id.Region]measured.Value[float64]) {
	for _, s := range r.load() {
		s.step(now, r, loads)
	}
}

// Order returns the servers that the request may be sent to, most preferred
// first. The slice must not be modified.
func (r *Router) Order(req *admission.Request) []*service.Server {
	s := r.load()[req.Service.Service]
	if s == nil {
		return nil
	}
	if r.Draw == nil {
		return s.order(rand.Uint64(), req.Tried)
	}
	return s.order(r.Draw(), req.Tried)
}

// Verdict returns the health verdict for a server at now and the level of its
// slow start, greater than 0 and at most 1. For an unknown server it returns No
// and 0.
func (r *Router) Verdict(svc id.Service, name id.Server, now time.Time) (v health.Verdict, level float64) {
	s := r.server(svc, name)
	if s == nil {
		return health.No, 0
	}
	state := s.state(now)
	return state.verdict, state.ramp
}

// SetProbe records whether a server answered its probe.
func (r *Router) SetProbe(svc id.Service, name id.Server, v measured.Value[bool]) {
	r.update(svc, name, func(s *server) { s.probe = v })
}

// SetReport records a load report of a server.
func (r *Router) SetReport(svc id.Service, name id.Server, v measured.Value[health.Report]) {
	r.update(svc, name, func(s *server) { s.report = v })
}

// Report returns the last load report of a server; the value is missing if there
// is none.
func (r *Router) Report(svc id.Service, name id.Server) measured.Value[health.Report] {
	var v measured.Value[health.Report]
	r.update(svc, name, func(s *server) { v = s.report })
	return v
}

// SetWarmth records the warmth that a server reports, 0 for cold to 1 for warm.
func (r *Router) SetWarmth(svc id.Service, name id.Server, v measured.Value[float64]) {
	r.update(svc, name, func(s *server) { s.warmth = v })
}

// Shares returns the share of a service's requests for which each region is the
// first choice.
func (r *Router) Shares(svc id.Service) []placement.RegionShare {
	s := r.load()[svc]
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.steer.Shares()
}

func (r *Router) load() map[id.Service]*routes {
	if m := r.services.Load(); m != nil {
		return *m
	}
	return nil
}

func (r *Router) server(svc id.Service, name id.Server) *server {
	s := r.load()[svc]
	if s == nil {
		return nil
	}
	return (*s.lookup.Load())[name]
}

func (r *Router) update(svc id.Service, name id.Server, apply func(*server)) {
	if s := r.server(svc, name); s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		apply(s)
	}
}

// publish makes the servers visible to the request path.
func (s *routes) publish() {
	known := maps.Clone(s.servers)
	s.lookup.Store(&known)
}
