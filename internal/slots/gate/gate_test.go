package gate_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/slots/gate"
)

func TestGateAcquireConditions(t *testing.T) {
	tests := map[string]struct {
		limit, used int
		end         time.Duration
		closed      bool
		want        bool
	}{
		"free":           {limit: 2, used: 1, end: gate.Forever, want: true},
		"full":           {limit: 2, used: 2, end: gate.Forever},
		"no slots":       {end: gate.Forever},
		"at the end":     {limit: 1, end: 10},
		"before the end": {limit: 1, end: 11, want: true},
		"closed":         {limit: 1, end: gate.Forever, closed: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g gate.Gate
			g.SetLimit(tt.limit)
			g.SetEnd(gate.Forever)
			for range tt.used {
				is.True(g.Acquire(0))
			}
			g.SetEnd(tt.end)
			g.SetClosed(tt.closed)
			is.Equal(g.Acquire(10), tt.want)
		})
	}
}

func TestGateLowerTakesIdleOnly(t *testing.T) {
	is := is.New(t)
	var g gate.Gate
	g.SetEnd(gate.Forever)
	g.Raise(3)
	is.True(g.Acquire(0))
	is.Equal(g.Lower(5), 2)
	limit, used := g.Load()
	is.Equal(limit, 1)
	is.Equal(used, 1)
	is.Equal(g.Lower(1), 0)
}

func TestGateStaysWithinLimitUnderConcurrency(t *testing.T) {
	is := is.New(t)
	var (
		g     gate.Gate
		group sync.WaitGroup
		inUse atomic.Int32
		over  atomic.Int32
	)
	const limit = 3
	g.SetLimit(limit)
	g.SetEnd(gate.Forever)
	for range 8 {
		group.Go(func() {
			for range 2000 {
				if !g.Acquire(0) {
					continue
				}
				if inUse.Add(1) > limit {
					over.Add(1)
				}
				inUse.Add(-1)
				g.Release()
			}
		})
	}
	group.Wait()
	is.Equal(over.Load(), int32(0))
	_, used := g.Load()
	is.Equal(used, 0)
}

func BenchmarkGate(b *testing.B) {
	b.ReportAllocs()
	gates := make([]gate.Gate, 30)
	for i := range gates {
		gates[i].SetLimit(64)
		gates[i].SetEnd(gate.Forever)
	}
	var next atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		g := &gates[next.Add(1)%int64(len(gates))]
		for pb.Next() {
			if g.Acquire(1) {
				g.Release()
			}
		}
	})
}
