package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/placement"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

func members(n int) []placement.Member {
	names := []id.Region{home, near, far}
	var list []placement.Member
	for i := range n {
		region := names[i%3]
		m := placement.Member{Region: region, Ramp: 1, Server: &service.Server{
			Name: id.Server(fmt.Sprintf("s%d", i)), Zone: id.Zone(fmt.Sprintf("%s-%d", region, i/3%2)), Slots: 6,
		}}
		if region != home {
			m.Delay = 20 * time.Millisecond
		} else if i/3%2 == 1 {
			m.Delay = time.Millisecond
		}
		list = append(list, m)
	}
	return list
}

func regionShares(shares ...float64) []placement.RegionShare {
	list := []placement.RegionShare{{Region: home}, {Region: near}, {Region: far}}
	for i, s := range shares {
		list[i].Share = s
	}
	return list
}

func names(servers []*service.Server) []id.Server {
	var list []id.Server
	for _, s := range servers {
		list = append(list, s.Name)
	}
	return list
}

func TestOrder(t *testing.T) {
	leaving := members(12)
	leaving[0].Server.Leaving = true
	cold := members(12)
	cold[0].Ramp = 0
	withoutHome := members(12)[1:2]
	tests := map[string]struct {
		members []placement.Member
		shares  []float64
		draw    uint64
		tried   []id.Server
		want    []id.Server
	}{
		"nearest first":              {members(12), []float64{1, 0, 0}, 0, nil, []id.Server{"s0", "s6", "s3", "s9", "s1", "s7", "s4", "s10", "s2", "s8", "s5", "s11"}},
		"leaving server left out":    {leaving, []float64{1, 0, 0}, 0, nil, []id.Server{"s6", "s3", "s9", "s1", "s7", "s4", "s10", "s2", "s8", "s5", "s11"}},
		"untried zone first":         {members(6), []float64{1, 0, 0}, 0, []id.Server{"s0"}, []id.Server{"s3", "s1", "s4", "s2", "s5"}},
		"rest of tried zone last":    {members(12), []float64{1, 0, 0}, 0, []id.Server{"s0"}, []id.Server{"s3", "s9", "s6", "s1", "s7", "s4", "s10", "s2", "s8", "s5", "s11"}},
		"draw selects other region":  {members(6), []float64{0.5, 0.5, 0}, 0xffff_fff0, nil, []id.Server{"s1", "s4", "s0", "s3", "s2", "s5"}},
		"cold server after warm":     {cold, []float64{1, 0, 0}, 0, nil, []id.Server{"s6", "s3", "s9", "s0", "s1", "s7", "s4", "s10", "s2", "s8", "s5", "s11"}},
		"home region without server": {withoutHome, []float64{1, 0, 0}, 0, nil, []id.Server{"s1"}},
		"region not allowed":         {append(members(3), placement.Member{Region: "elsewhere", Ramp: 1, Server: &service.Server{Name: "x"}}), []float64{1, 0, 0}, 0, nil, []id.Server{"s0", "s1", "s2"}},
		"shares are NaN":             {members(3), []float64{math.NaN(), math.NaN(), math.NaN()}, 7, nil, []id.Server{"s0", "s1", "s2"}},
		"shares are negative":        {members(3), []float64{-1, -1, -1}, 7, nil, []id.Server{"s0", "s1", "s2"}},
		"no members":                 {nil, []float64{1, 0, 0}, 7, nil, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := placement.NewTable(regionShares(tt.shares...), tt.members)
			is.Equal(names(table.Order(tt.draw, tt.tried, nil)), tt.want)
		})
	}
}

func TestOrderFollowsSharesAndRamp(t *testing.T) {
	is := is.New(t)
	all := members(12)
	all[0].Ramp = 0.25
	table := placement.NewTable(regionShares(0.5, 0.3, 0.2), all)
	r := rand.New(rand.NewPCG(1, 2))
	first := map[id.Server]int{}
	region := map[id.Region]int{}
	const n = 100_000
	for range n {
		s := table.Order(r.Uint64(), nil, nil)[0]
		first[s.Name]++
		for _, m := range all {
			if m.Server == s {
				region[m.Region]++
			}
		}
	}
	is.True(math.Abs(float64(region[home])/n-0.5) < 0.01)
	is.True(math.Abs(float64(region[near])/n-0.3) < 0.01)
	is.True(math.Abs(float64(region[far])/n-0.2) < 0.01)
	cold, warm := float64(first["s0"]), float64(first["s6"])
	is.True(math.Abs(cold/(cold+warm)-0.125) < 0.02) // ramp 0.25 of its half of the zone
}

// Each eligible server appears exactly once; tried and leaving servers don't
// appear.
func TestOrderIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(0, 40).Draw(t, "members"))
		want := map[id.Server]bool{}
		var tried []id.Server
		for i := range all {
			all[i].Ramp = rapid.Float64Range(-1, 2).Draw(t, "ramp")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				all[i].Server.Leaving = true
			case 1:
				tried = append(tried, all[i].Server.Name)
			default:
				want[all[i].Server.Name] = true
			}
		}
		shares := rapid.SliceOfN(rapid.Float64Range(0, 1), 3, 3).Draw(t, "shares")
		got := placement.NewTable(regionShares(shares...), all).Order(rapid.Uint64().Draw(t, "draw"), tried, nil)
		for _, s := range got {
			if !want[s.Name] {
				t.Fatalf("%s is not eligible, or appears twice", s.Name)
			}
			delete(want, s.Name)
		}
		if len(want) > 0 {
			t.Fatalf("missing: %v", want)
		}
	})
}

func TestOrderDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	table := placement.NewTable(regionShares(0.5, 0.3, 0.2), members(30))
	buf := make([]*service.Server, 0, 30)
	tried := []id.Server{"s1", "s2"}
	is.Equal(testing.AllocsPerRun(1000, func() { buf = table.Order(7, tried, buf[:0]) }), 0.0)
}

func BenchmarkOrder(b *testing.B) {
	table := placement.NewTable(regionShares(0.5, 0.3, 0.2), members(30))
	buf := make([]*service.Server, 0, 30)
	r := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		buf = table.Order(r.Uint64(), nil, buf[:0])
	}
}

func BenchmarkOrderTried(b *testing.B) {
	table := placement.NewTable(regionShares(0.5, 0.3, 0.2), members(30))
	buf := make([]*service.Server, 0, 30)
	tried := []id.Server{"s0", "s1"}
	r := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		buf = table.Order(r.Uint64(), tried, buf[:0])
	}
}
