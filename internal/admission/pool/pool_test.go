package pool_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/admission/pool"
	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// newPool returns a pool and a service file with the given number of servers of
// one slot each.
func newPool(servers int) (*pool.Pool, *service.File) {
	f := &service.File{Service: "registry"}
	p := &pool.Pool{MaxWaiting: 10}
	for i := range servers {
		name := id.Server(fmt.Sprintf("s-%d", i))
		f.Servers = append(f.Servers, service.Server{Name: name})
		g := p.EnsureGate(pool.Key{Service: "registry", Server: name})
		g.SetLimit(1)
		g.SetEnd(gate.Forever)
	}
	order := make([]*service.Server, servers)
	for i := range f.Servers {
		order[i] = &f.Servers[i]
	}
	p.Order = func(*admission.Request) []*service.Server { return order }
	return p, f
}

func TestAdmitTakesFirstFreeServer(t *testing.T) {
	is := is.New(t)
	p, f := newPool(3)
	req := &admission.Request{Service: f, Deadline: time.Now().Add(time.Hour)}
	for _, want := range []id.Server{"s-0", "s-1", "s-2"} {
		permit, err := p.Admit(t.Context(), req)
		is.NoErr(err)
		is.Equal(permit.Server().Name, want)
	}
	is.Equal(p.Waiting("registry"), 0)
	is.Equal(p.Waiting("other"), 0)
}

func TestAdmitStopsWaitingWhenContextIsCancelled(t *testing.T) {
	is := is.New(t)
	p, f := newPool(1)
	req := &admission.Request{Service: f, Deadline: time.Now().Add(time.Hour)}
	_, err := p.Admit(t.Context(), req)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = p.Admit(ctx, req)
	is.True(err != nil)
	is.Equal(p.Waiting("registry"), 0)
}

func BenchmarkPoolAdmit(b *testing.B) {
	p, f := newPool(180)
	req := &admission.Request{Service: f, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			permit, err := p.Admit(context.Background(), req)
			if err != nil {
				b.Error(err)
				return
			}
			permit.Release(admission.Outcome{})
		}
	})
}
