package pool_test

import (
	"context"
	"testing"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/admission/pool"
	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// BenchmarkAdmit admits and releases requests of one service with ten servers,
// from one goroutine and from GOMAXPROCS goroutines in parallel.
func BenchmarkAdmit(b *testing.B) {
	b.Run("one", func(b *testing.B) {
		p, req := manyServers()
		for b.Loop() {
			admit(b, p, req)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		p, req := manyServers()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				admit(b, p, req)
			}
		})
	})
}

func manyServers() (*pool.Pool, *admission.Request) {
	file := &service.File{Service: "registry"}
	var order []*service.Server
	for i := range 10 {
		file.Servers = append(file.Servers, service.Server{Name: id.Server("server-" + string(rune('0'+i))), Slots: 600})
	}
	p := new(pool.Pool)
	for i := range file.Servers {
		order = append(order, &file.Servers[i])
		g := p.EnsureGate(pool.Key{Service: file.Service, Server: file.Servers[i].Name})
		g.SetLimit(600)
		g.SetEnd(gate.Forever)
	}
	p.Order = func(*admission.Request) []*service.Server { return order }
	return p, &admission.Request{Service: file, Deadline: time.Now().Add(time.Hour)}
}

func admit(b *testing.B, p *pool.Pool, req *admission.Request) {
	permit, err := p.Admit(context.Background(), req)
	if err != nil {
		b.Error(err)
		return
	}
	permit.Release(admission.Outcome{})
}
