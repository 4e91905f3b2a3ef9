package steering_test

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/steering"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

type (
	// slots gives a slot on the first server in order, always.
	slots struct{ s *steering.Steering }

	slot struct{ server *service.Server }
)

func (i slots) Admit(_ context.Context, req *admission.Request) (admission.Permit, error) {
	for _, b := range i.s.Order(req) {
		if !slices.Contains(req.Tried, b.Name) {
			return slot{b}, nil
		}
	}
	return nil, &admission.RefusedError{Code: result.NoServer}
}

func (s slot) Server() *service.Server { return s.server }

func (slot) Release(admission.Outcome) {}

func world() *deployment.Deployment {
	return &deployment.Deployment{
		Regions: []deployment.Region{{Name: "a", Zones: []id.Zone{"a1"}}, {Name: "b", Zones: []id.Zone{"b1"}}},
		Delays:  deployment.Delays{Regions: unit.Duration(12 * time.Millisecond)},
	}
}

func file() *service.File {
	return &service.File{
		Service: "registry", Regions: []service.Region{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
		Servers: []service.Server{{Name: "near", Zone: "a1", Slots: 2}, {Name: "far", Zone: "b1", Slots: 2}},
	}
}

func start(f *service.File) *steering.Steering {
	s := &steering.Steering{World: world(), Zone: "a1"}
	s.Inner = slots{s}
	s.Configure([]*service.File{f}, time.Now())
	return s
}

func request(f *service.File) *admission.Request {
	return &admission.Request{Service: f, Class: &service.Class{Kind: service.Read}, Deadline: time.Now().Add(time.Minute)}
}

// send admits a request and ends it with a code; it returns the server.
func send(s *steering.Steering, f *service.File, code result.Code) id.Server {
	p, err := s.Admit(context.Background(), request(f))
	if err != nil {
		return ""
	}
	p.Release(admission.Outcome{Code: code, Latency: time.Millisecond})
	return p.Server().Name
}

func none(*service.File) map[id.Region]measured.Value[float64] { return nil }

func TestFailingServerIsLeftAndComesBackByTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := file()
		s := start(f)
		is.Equal(send(s, f, result.Served), id.Server("near"))
		is.Equal(send(s, f, result.ConnectFailed), id.Server("near"))
		is.Equal(send(s, f, result.ConnectFailed), id.Server("near"))
		is.Equal(send(s, f, result.Served), id.Server("far")) // near is out
		v, _ := s.Verdict("registry", "near", time.Now())
		is.Equal(v, health.No)

		time.Sleep(2 * time.Second)
		s.Step(time.Now(), none)
		first, err := s.Admit(context.Background(), request(f)) // the trial
		is.NoErr(err)
		is.Equal(first.Server().Name, id.Server("near"))
		is.Equal(send(s, f, result.Served), id.Server("far")) // one trial at a time
		first.Release(admission.Outcome{Code: result.Served, Latency: time.Millisecond})
		v, level := s.Verdict("registry", "near", time.Now())
		is.Equal(v, health.Yes)
		is.True(level < 1) // it starts slowly
	})
}

func TestLeavingServerIsNotInTheOrder(t *testing.T) {
	is := is.New(t)
	f := file()
	s := start(f)
	drained := *f
	drained.Servers = slices.Clone(f.Servers)
	drained.Servers[0].Leaving = true
	s.Configure([]*service.File{&drained}, time.Now())
	is.Equal(send(s, &drained, result.Served), id.Server("far"))
}

func TestOpinionOutlastsANewConfiguration(t *testing.T) {
	tests := map[string]struct {
		change func(*service.Server)
		want   health.Verdict
	}{
		"other slots":   {change: func(b *service.Server) { b.Slots = 5 }, want: health.No},
		"other address": {change: func(b *service.Server) { b.Address = loopback(2) }, want: health.Trial},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := file()
			s := start(f)
			send(s, f, result.ConnectFailed)
			send(s, f, result.ConnectFailed)
			next := *f
			next.Servers = slices.Clone(f.Servers)
			tt.change(&next.Servers[0])
			s.Configure([]*service.File{&next}, time.Now())
			v, _ := s.Verdict("registry", "near", time.Now())
			is.Equal(v, tt.want)
		})
	}
}

func TestLoadedRegionPassesRequestsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := file()
		s := start(f)
		for range 30 {
			time.Sleep(time.Second)
			now := time.Now()
			s.Step(now, func(*service.File) map[id.Region]measured.Value[float64] {
				return map[id.Region]measured.Value[float64]{"a": measured.At(0.97, now), "b": measured.At(0.1, now)}
			})
		}
		parts := s.Parts("registry")
		is.Equal(len(parts), 2)
		is.True(parts[1].Share > 0.2)
	})
}

func TestAllServersOut(t *testing.T) {
	is := is.New(t)
	f := file()
	s := start(f)
	for range 4 {
		send(s, f, result.ConnectFailed)
	}
	_, err := s.Admit(context.Background(), request(f))
	var refused *admission.RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, result.NoServer)
}

func loopback(last byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, last}), 80)
}
