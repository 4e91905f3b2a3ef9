package routing

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/placement"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// ordersPerService is the number of precomputed server orders per service.
	ordersPerService = 256
	// trialRamp is the maximum ramp of a server on trial.
	trialRamp = 1.0 / 32
	// minReportedShare is the minimum share of a region's slots that must be
	// covered by load reports for the region's load to be known.
	minReportedShare = 0.5
)

type (
	// routes is the state of one service.
	routes struct {
		orders atomic.Pointer[orders]
		lookup atomic.Pointer[map[id.Server]*server]

		mu          sync.Mutex
		file        *service.File
		steer       *placement.Steer
		regions     []placement.Region
		servers     map[id.Server]*server
		members     []placement.Member
		warmLatency measured.Value[time.Duration]
	}

	// orders holds a table and orders precomputed from it. It is immutable.
	orders struct {
		table *placement.Table
		ready [ordersPerService][]*service.Server
	}
)

func newRoutes() *routes {
	s := &routes{servers: make(map[id.Server]*server)}
	s.orders.Store(new(orders))
	s.publish()
	return s
}

func (s *routes) configure(now time.Time, r *Router, f *service.File) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.file == nil
	s.file = f
	if regions := placement.Regions(r.Deployment, f, r.Zone); !slices.Equal(regions, s.regions) {
		s.regions, s.steer = regions, placement.NewSteer(regions)
	}
	next := make(map[id.Server]*server, len(f.Servers))
	for i := range f.Servers {
		conf := &f.Servers[i]
		old := s.servers[conf.Name]
		if old == nil || old.addressChanged(conf) {
			old = new(server)
			if !first {
				old.ramp.Start(now)
			}
		}
		old.configure(now, conf)
		next[conf.Name] = old
	}
	s.servers = next
	s.publish()
	s.rebuild(now, r)
}

func (s *routes) step(now time.Time, r *Router, loads func(*service.File) map[id.Region]measured.Value[float64]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateWarmLatency(now)
	for _, server := range s.servers {
		server.step(now, s.warmLatency)
	}
	var current map[id.Region]measured.Value[float64]
	if loads != nil {
		current = loads(s.file)
	} else {
		current = s.reportedLoads(now, r)
	}
	changed := s.steer.Step(now, current)
	if changed || !slices.Equal(s.membersAt(now, r), s.members) {
		s.rebuild(now, r)
	}
}

// order returns a precomputed order for the first attempt of a request, or one
// computed from the table for a retry.
func (s *routes) order(draw uint64, tried []id.Server) []*service.Server {
	o := s.orders.Load()
	if len(tried) == 0 || o.table == nil {
		return o.ready[draw%ordersPerService]
	}
	return o.table.Order(draw, tried, make([]*service.Server, 0, len(o.ready[0])))
}

func (s *routes) rebuild(now time.Time, r *Router) {
	s.members = s.membersAt(now, r)
	o := &orders{table: placement.NewTable(s.steer.Shares(), s.members)}
	const step = 1 << 32 / ordersPerService
	for i := range uint64(ordersPerService) {
		// The low half covers the shares of all regions evenly. The high half
		// is a hash of i, so that it is uncorrelated with the low half.
		rotation := (i * 0x9e3779b97f4a7c15) >> 32
		o.ready[i] = o.table.Order(rotation<<32|(i*step+step/2), nil, nil)
	}
	s.orders.Store(o)
}

// membersAt returns the servers that may get requests, in the file's order.
func (s *routes) membersAt(now time.Time, r *Router) []placement.Member {
	members := make([]placement.Member, 0, len(s.file.Servers))
	for i := range s.file.Servers {
		conf := &s.file.Servers[i]
		state := s.servers[conf.Name].state(now)
		region, ok := r.Deployment.Region(conf.Zone)
		if !ok || state.leaving || state.verdict == health.No {
			continue
		}
		m := placement.Member{Server: conf, Region: region, Delay: r.Deployment.Delay(r.Zone, conf.Zone), Ramp: state.ramp}
		if state.verdict == health.Trial {
			m.Ramp = min(m.Ramp, trialRamp)
		}
		members = append(members, m)
	}
	return members
}

// reportedLoads returns the load of each region with enough load reports.
func (s *routes) reportedLoads(now time.Time, r *Router) map[id.Region]measured.Value[float64] {
	type sum struct {
		slots, reported, running int
		oldest                   time.Duration
	}
	sums := make(map[id.Region]sum)
	for i := range s.file.Servers {
		conf := &s.file.Servers[i]
		region, ok := r.Deployment.Region(conf.Zone)
		if !ok || conf.Leaving {
			continue
		}
		t := sums[region]
		t.slots += conf.Slots
		if report, age, ok := s.servers[conf.Name].reported(now); ok {
			t.reported += conf.Slots
			t.running += report.Running
			t.oldest = max(t.oldest, age)
		}
		sums[region] = t
	}
	loads := make(map[id.Region]measured.Value[float64], len(sums))
	for region, t := range sums {
		if t.reported > 0 && float64(t.reported) >= minReportedShare*float64(t.slots) {
			loads[region] = measured.At(float64(t.running)/float64(t.reported), now.Add(-t.oldest))
		}
	}
	return loads
}

// updateWarmLatency updates the mean latency of the warm servers from the
// responses since the last step.
func (s *routes) updateWarmLatency(now time.Time) {
	var sum time.Duration
	answers := 0
	for _, server := range s.servers {
		d, n := server.takeLatency()
		sum += d
		answers += n
	}
	if answers > 0 {
		s.warmLatency = measured.At(sum/time.Duration(answers), now)
	}
}
