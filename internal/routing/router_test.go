package routing_test

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/routing"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// slots grants the first server of the router's order that hasn't been tried. If
// held is set, it is used instead of the current order, as for a request that
// was ordered before it had to wait.
type slots struct {
	router   *routing.Router
	held     []*service.Server
	mu       sync.Mutex
	released []result.Code
}

type permit struct {
	slots  *slots
	server *service.Server
}

func (s *slots) Admit(_ context.Context, req *admission.Request) (admission.Permit, error) {
	order := s.held
	if order == nil {
		order = s.router.Order(req)
	}
	for _, server := range order {
		if !slices.Contains(req.Tried, server.Name) {
			return &permit{s, server}, nil
		}
	}
	return nil, &admission.RefusedError{Code: result.NoServer, RetryAfter: time.Second}
}

func (p *permit) Server() *service.Server { return p.server }
func (p *permit) Release(o admission.Outcome) {
	p.slots.mu.Lock()
	defer p.slots.mu.Unlock()
	p.slots.released = append(p.slots.released, o.Code)
}

func testDeployment() *deployment.Deployment {
	return &deployment.Deployment{
		Regions: []deployment.Region{{Name: "fyn", Zones: []id.Zone{"fyn-1", "fyn-2"}}, {Name: "jylland", Zones: []id.Zone{"jylland-1"}}},
		Delays:  deployment.Delays{Zones: unit.Duration(time.Millisecond), Regions: unit.Duration(20 * time.Millisecond)},
	}
}

func file(leaving ...id.Server) *service.File {
	f := &service.File{Service: "register", Regions: []service.Region{{Name: "fyn", Weight: 1}, {Name: "jylland", Weight: 1}}}
	for i, name := range []id.Server{"a", "b", "c", "d"} {
		zone := []id.Zone{"fyn-1", "fyn-1", "fyn-2", "jylland-1"}[i]
		f.Servers = append(f.Servers, service.Server{
			Name: name, Zone: zone, Slots: 6, Connections: 6, Leaving: slices.Contains(leaving, name),
			Address: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(1000+i)),
		})
	}
	return f
}

func router() *routing.Router {
	r := &routing.Router{Deployment: testDeployment(), Zone: "fyn-1", Draw: rand.New(rand.NewPCG(1, 2)).Uint64}
	r.Configure([]*service.File{file()}, time.Now())
	return r
}

func request(tried ...id.Server) *admission.Request {
	return &admission.Request{Service: file(), Tried: tried, Deadline: time.Now().Add(time.Minute)}
}

func send(r *routing.Router, code result.Code, tried ...id.Server) (id.Server, result.Code) {
	p, err := r.Admit(context.Background(), request(tried...))
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		return "", refused.Code
	}
	p.Release(admission.Outcome{Code: code, Latency: 10 * time.Millisecond})
	return p.Server().Name, code
}

func verdict(r *routing.Router, name id.Server) health.Verdict {
	v, _ := r.Verdict("register", name, time.Now())
	return v
}

func level(r *routing.Router, name id.Server) float64 {
	_, l := r.Verdict("register", name, time.Now())
	return l
}

func TestOrderStartsWithNearestServers(t *testing.T) {
	is := is.New(t)
	r := router()
	first := map[id.Server]int{}
	for range 1000 {
		order := r.Order(request())
		is.Equal(len(order), 4)
		is.Equal(order[2].Name, id.Server("c"))
		is.Equal(order[3].Name, id.Server("d"))
		first[order[0].Name]++
	}
	is.True(first["a"] > 400)
	is.True(first["b"] > 400)
	is.Equal(r.Order(request("a"))[0].Name, id.Server("c")) // untried zone first
	is.Equal(len(r.Order(&admission.Request{Service: &service.File{Service: "other"}})), 0)
}

func TestLeavingServerGetsNoRequestThatWaited(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := router()
		inner := &slots{router: r, held: r.Order(request())} // ordered before the servers are leaving
		r.Inner = inner
		r.Configure([]*service.File{file("a", "b")}, time.Now())
		name, _ := send(r, result.Served)
		is.Equal(name, id.Server("c"))
		is.Equal(inner.released, []result.Code{result.NoServer, result.NoServer, result.Served})
		is.Equal(r.Order(request())[0].Name, id.Server("c"))
		r.Configure([]*service.File{file()}, time.Now())
		is.True(level(r, "a") < 1) // in slow start, since it is no longer leaving
		is.Equal(level(r, "c"), 1.0)
	})
}

func TestFailingServerIsExcludedAndReturnsByTrial(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := router()
		r.Inner = &slots{router: r}
		for range 20 { // all are warm and have answered
			send(r, result.Served)
			send(r, result.Served, "a")
			send(r, result.Served, "b")
		}
		for verdict(r, "a") != health.No {
			send(r, result.ConnectFailed, "b", "c", "d")
		}
		r.Step(time.Now(), nil)
		is.Equal(len(r.Order(request())), 3)
		for range 100 {
			name, _ := send(r, result.Served)
			is.True(name != "a")
		}
		_, code := send(r, result.Served, "b", "c", "d")
		is.Equal(code, result.NoServer)
		time.Sleep(2 * time.Second)
		r.Step(time.Now(), nil)
		is.Equal(verdict(r, "a"), health.Trial)
		for verdict(r, "a") != health.Yes {
			send(r, result.Served)
		}
		is.True(level(r, "a") < 1) // in slow start after recovery
		for range 60 {
			for range 100 {
				send(r, result.Served)
			}
			time.Sleep(time.Second)
			r.Step(time.Now(), nil)
		}
		is.Equal(level(r, "a"), 1.0)
	})
}

func TestTrialBlocksOtherRequestsOnlyAfterFailure(t *testing.T) {
	bad := measured.At(false, time.Now())
	tests := map[string]struct {
		probe measured.Value[bool]
		ok    bool // a second request is admitted during the trial
	}{
		"nothing known": {measured.Value[bool]{}, true},
		"failed probe":  {bad, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := router()
			r.SetProbe("register", "a", tt.probe)
			r.Inner = &slots{router: r}
			first, err := r.Admit(context.Background(), request("b", "c", "d"))
			is.NoErr(err)
			for range 20 {
				other, err := r.Admit(context.Background(), request("c", "d"))
				is.NoErr(err)
				is.Equal(other.Server().Name, id.Server("b")) // preferred to the server on trial
				other.Release(admission.Outcome{Code: result.CallerGone})
			}
			_, err = r.Admit(context.Background(), request("b", "c", "d"))
			is.Equal(err == nil, tt.ok)
			first.Release(admission.Outcome{Code: result.CallerGone})
			for range 3 { // repeated releases have no effect
				first.Release(admission.Outcome{Code: result.ConnectFailed})
			}
			again, err := r.Admit(context.Background(), request("b", "c", "d"))
			is.NoErr(err)
			again.Release(admission.Outcome{Code: result.Served})
			is.Equal(verdict(r, "a"), health.Yes)
		})
	}
}

func TestStepLoadInputs(t *testing.T) {
	full, calm := health.Report{Slots: 6, Running: 6}, health.Report{Slots: 6, Running: 1}
	tests := map[string]struct {
		home, other health.Report
		age         time.Duration
		reporting   int
		less        bool
	}{
		"full home":       {full, calm, 0, 3, true},
		"two of three":    {full, calm, 0, 2, true},
		"one of three":    {full, calm, 0, 1, false},
		"none report":     {full, calm, 0, 0, false},
		"stale":           {full, calm, time.Minute, 3, false},
		"from the future": {full, calm, -time.Minute, 3, false},
		"all full":        {full, full, 0, 3, false},
		"negative":        {health.Report{Slots: 6, Running: -6}, calm, 0, 3, false},
		"out of range":    {health.Report{Slots: 6, Running: 1 << 30}, calm, 0, 3, false},
		"calm everywhere": {calm, calm, 0, 3, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := router()
				time.Sleep(5 * time.Second)
				at := time.Now().Add(-tt.age)
				for _, name := range []id.Server{"a", "b", "c"}[:tt.reporting] {
					r.SetReport("register", name, measured.At(tt.home, at))
				}
				r.SetReport("register", "d", measured.At(tt.other, at))
				r.Step(time.Now(), nil)
				shares := r.Shares("register")
				is.Equal(shares[0].Share < 1, tt.less)
				first := 0
				for range 10_000 {
					if r.Order(request())[0].Name == "d" {
						first++
					}
				}
				is.True(math.Abs(float64(first)/10_000-shares[1].Share) < 0.02)
			})
		})
	}
}

func TestNewServersStartSlowly(t *testing.T) {
	is := is.New(t)
	r := router()
	is.Equal(level(r, "a"), 1.0)
	moved := file()
	moved.Servers[0].Address = netip.MustParseAddrPort("192.0.2.9:1")
	moved.Servers = append(moved.Servers, service.Server{Name: "e", Zone: "fyn-1", Slots: 6})
	r.Configure([]*service.File{moved}, time.Now())
	is.True(level(r, "a") < 1)
	is.True(level(r, "e") < 1)
	is.Equal(level(r, "b"), 1.0)
}

func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	r := router()
	r.Draw, r.Inner = nil, &slots{router: r}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for k := range 300 {
				switch (k + i) % 10 {
				case 0:
					r.Step(time.Now(), nil)
				case 1:
					r.Configure([]*service.File{file([]id.Server{"a", "b"}[k%2])}, time.Now())
				case 2:
					r.SetProbe("register", "c", measured.At(k%3 == 0, time.Now()))
				default:
					send(r, result.Served)
				}
			}
		})
	}
	wg.Wait()
	r.Configure([]*service.File{file()}, time.Now())
	is.Equal(level(r, "nobody"), 0.0)
}

func TestOrderDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	r, req := router(), request()
	is.Equal(testing.AllocsPerRun(1000, func() { r.Order(req) }), 0.0)
}

func BenchmarkOrder(b *testing.B) {
	r, req := router(), request()
	b.ReportAllocs()
	for b.Loop() {
		r.Order(req)
	}
}

func BenchmarkStep(b *testing.B) {
	r := router()
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		r.Step(now, nil)
	}
}
