package steering

import (
	"context"
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
	// Steering decides where one entry sends requests. Its exported fields
	// must not change after the first call. It is safe for concurrent use.
	Steering struct {
		// World is the deployment.
		World *deployment.Deployment
		// Zone is the entry's availability zone.
		Zone id.Zone
		// Inner permits slots.
		Inner admission.Admitter

		mu       sync.Mutex
		services atomic.Pointer[map[id.Service]*state]
	}

	// state is what is held for one service.
	state struct {
		file    *service.File
		regions map[id.Server]id.Region
		servers map[id.Server]*server
		table   atomic.Pointer[placement.Table]
		warm    atomic.Int64 // mean latency of reads, in nanoseconds
		seen    atomic.Int64 // when warm was last brought up to date

		steer *placement.Steer // guarded by Steering.mu
	}

	// permit is an inner permit whose outcome goes into the opinion.
	permit struct {
		admission.Permit
		state  *state
		server *server
		read   bool
		once   sync.Once
	}
)

var _ admission.Admitter = (*Steering)(nil)

// Configure puts service files in force. What is known of servers that are in
// both the old and the new files is kept.
func (s *Steering) Configure(files []*service.File, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.load()
	next := map[id.Service]*state{}
	for _, f := range files {
		next[f.Service] = s.newState(f, old[f.Service])
		next[f.Service].rebuild(s, now)
	}
	s.services.Store(&next)
}

// Order returns the servers for a request, best first.
func (s *Steering) Order(req *admission.Request) []*service.Server {
	st := s.load()[req.Service.Service]
	if st == nil {
		return nil
	}
	return st.table.Load().Order(rand.Uint64(), req.Tried, make([]*service.Server, 0, len(st.file.Servers)))
}

// Step moves ramps and region parts on and makes new tables. loads returns the
// loads of a service's regions.
func (s *Steering) Step(now time.Time, loads func(*service.File) map[id.Region]measured.Value[float64]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.load() {
		st.steer.Step(now, loads(st.file))
		warm := st.warmLatency()
		for _, b := range st.servers {
			b.step(now, warm)
		}
		st.rebuild(s, now)
	}
}

// Verdict returns the opinion on a server at now, and the level of its slow
// start, above 0 to 1.
func (s *Steering) Verdict(name id.Service, of id.Server, now time.Time) (v health.Verdict, level float64) {
	st := s.load()[name]
	if st == nil || st.servers[of] == nil {
		return health.No, 0
	}
	return st.servers[of].verdict(now)
}

// Parts returns what each region gets first of a service's requests.
func (s *Steering) Parts(name id.Service) []placement.Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.load()[name]
	if st == nil {
		return nil
	}
	return st.steer.Parts()
}

// Admit implements admission.Admitter.
func (s *Steering) Admit(ctx context.Context, req *admission.Request) (admission.Permit, error) {
	st := s.load()[req.Service.Service]
	for {
		p, err := s.Inner.Admit(ctx, req)
		if err != nil || st == nil {
			return p, err
		}
		b := st.servers[p.Server().Name]
		if b == nil || b.begin(time.Now()) {
			return &permit{Permit: p, state: st, server: b, read: req.Class.Kind == service.Read}, nil
		}
		p.Release(admission.Outcome{})
		req = without(req, p.Server().Name)
	}
}

// Release implements admission.Permit.
func (p *permit) Release(o admission.Outcome) {
	p.once.Do(func() {
		if p.server == nil {
			return
		}
		now := time.Now()
		p.server.end(now, o, p.read)
		if p.read && o.Latency > 0 && health.EventOf(o.Code) == health.Answered {
			p.state.answered(now, o.Latency)
		}
	})
	p.Permit.Release(o)
}

func (s *Steering) load() map[id.Service]*state {
	if p := s.services.Load(); p != nil {
		return *p
	}
	return nil
}

func without(req *admission.Request, name id.Server) *admission.Request {
	out := *req
	out.Tried = append(out.Tried[:len(out.Tried):len(out.Tried)], name)
	return &out
}
