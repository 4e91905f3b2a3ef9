package lookup_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/lookup"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	targetBlocks = 100_000
	targetSites  = 2_100
	targetBytes  = 32 << 20
)

func TestNearOrdersByRegionAndState(t *testing.T) {
	d := &deployment.Deployment{
		Regions: []deployment.Region{{Name: "fyn", Zones: []id.Zone{"fyn-1"}}, {Name: "jylland", Zones: []id.Zone{"jylland-1"}}},
		Delays:  deployment.Delays{Regions: unit.Duration(20 * time.Millisecond)},
		Entries: []deployment.Entry{{Name: "e1", Zone: "jylland-1"}, {Name: "e2", Zone: "fyn-1"}, {Name: "e3", Zone: "fyn-1"}},
	}
	tests := map[string]struct {
		states map[id.Instance]lookup.State
		want   []lookup.Choice
	}{
		"all live":       {map[id.Instance]lookup.State{"e1": lookup.Live, "e2": lookup.Live, "e3": lookup.Live}, []lookup.Choice{{1, 1, 0}, {2, 1, 0}, {0, 1, 1}}},
		"one is leaving": {map[id.Instance]lookup.State{"e1": lookup.Live, "e2": lookup.Leaving, "e3": lookup.Live}, []lookup.Choice{{2, 1, 0}, {0, 1, 1}}},
		"one is down":    {map[id.Instance]lookup.State{"e1": lookup.Down, "e2": lookup.Live, "e3": lookup.Live}, []lookup.Choice{{1, 1, 0}, {2, 1, 0}}},
		"one unknown":    {map[id.Instance]lookup.State{"e1": lookup.Live, "e2": lookup.Live}, []lookup.Choice{{1, 1, 0}, {0, 1, 1}, {2, 1, 128}}},
		"all unknown":    {nil, []lookup.Choice{{1, 1, 128}, {2, 1, 128}, {0, 1, 129}}},
		"none is usable": {map[id.Instance]lookup.State{"e1": lookup.Down, "e2": lookup.Leaving, "e3": lookup.Down}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, err := lookup.Near(d, "fyn", tt.states).Build()
			is.NoErr(err)
			is.Equal(table.Lookup(netip.MustParseAddr("192.0.2.1"), nil), tt.want)
			is.Equal(table.Validity(), lookup.DefaultValidity)
		})
	}
}

func TestEffectiveStateOfReports(t *testing.T) {
	now := time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		give measured.Value[lookup.State]
		want lookup.State
	}{
		"missing":         {measured.Value[lookup.State]{}, lookup.Doubtful},
		"fresh":           {measured.At(lookup.Live, now.Add(-time.Second)), lookup.Live},
		"stale":           {measured.At(lookup.Live, now.Add(-time.Minute)), lookup.Doubtful},
		"stale and down":  {measured.At(lookup.Down, now.Add(-time.Minute)), lookup.Doubtful},
		"from the future": {measured.At(lookup.Live, now.Add(time.Minute)), lookup.Doubtful},
		"invalid state":   {measured.At(lookup.State(200), now), lookup.Doubtful},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(lookup.EffectiveState(tt.give, now, 15*time.Second), tt.want)
		})
	}
}

func TestTableChanges(t *testing.T) {
	is := is.New(t)
	b := lookup.Builder{
		Sites:   []lookup.Site{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}},
		States:  []lookup.State{lookup.Live, lookup.Live, lookup.Live},
		Default: []lookup.Choice{{0, 1, 0}},
		Blocks:  []lookup.Block{{netip.MustParsePrefix("10.0.0.0/8"), []lookup.Choice{{1, 1, 0}}}},
	}
	first, err := b.Build()
	is.NoErr(err)
	inner, other := netip.MustParseAddr("10.1.2.3"), netip.MustParseAddr("11.0.0.1")
	second, err := first.WithBlock(lookup.Block{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Route: []lookup.Choice{{2, 1, 0}}})
	is.NoErr(err)
	is.Equal(first.Lookup(inner, nil)[0].Site, uint32(1))                                        // the original is unchanged
	is.Equal(second.Lookup(inner, nil)[0].Site, uint32(2))                                       // longest prefix
	is.Equal(second.Lookup(netip.AddrFrom16(inner.As16()), nil)[0].Site, uint32(2))              // IPv4-mapped address
	is.Equal(second.Lookup(other, nil)[0].Site, uint32(0))                                       // default
	is.Equal(second.WithState(2, lookup.Down).Lookup(inner, nil)[0].Site, uint32(0))             // no usable choice in the route
	is.Equal(second.WithoutBlock(netip.MustParsePrefix("10.1.0.0/16")).Blocks(), first.Blocks()) // removed
	is.Equal(first.WithSite(1, lookup.Site{Instance: "d"}, lookup.Live).Site(1).Instance, id.Instance("d"))
	_, err = first.WithBlock(lookup.Block{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Route: []lookup.Choice{{9, 1, 0}}})
	is.True(err != nil)
	_, err = first.WithBlock(lookup.Block{Route: []lookup.Choice{{1, 1, 0}}})
	is.True(err != nil)
}

// TestLookupUsesLongestPrefix compares lookups with a linear search for the
// longest matching prefix.
func TestLookupUsesLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := lookup.Builder{
			Sites:   make([]lookup.Site, 40),
			States:  make([]lookup.State, 40),
			Default: []lookup.Choice{{0, 1, 0}},
		}
		for i := range b.States {
			b.States[i] = lookup.Live
		}
		for i := range rapid.IntRange(0, 39).Draw(t, "blocks") {
			addr := netip.AddrFrom4([4]byte{10, rapid.Byte().Draw(t, "b"), rapid.ByteRange(0, 3).Draw(t, "c"), 0})
			prefix := netip.PrefixFrom(addr, rapid.IntRange(8, 24).Draw(t, "bits")).Masked()
			b.Blocks = append(b.Blocks, lookup.Block{Prefix: prefix, Route: []lookup.Choice{{uint32(i), 1, 0}}})
		}
		table, err := b.Build()
		if err != nil {
			t.Fatal(err)
		}
		caller := netip.AddrFrom4([4]byte{10, rapid.Byte().Draw(t, "b"), rapid.ByteRange(0, 3).Draw(t, "c"), 1})
		want, bits := uint32(0), -1
		for _, block := range b.Blocks {
			if block.Prefix.Contains(caller) && block.Prefix.Bits() >= bits {
				want, bits = block.Route[0].Site, block.Prefix.Bits()
			}
		}
		if got := table.Lookup(caller, nil); len(got) != 1 || got[0].Site != want {
			t.Fatalf("%s: got %v, want site %d", caller, got, want)
		}
	})
}

func TestTargetSizeMeetsAllocationAndMemoryLimits(t *testing.T) {
	is := is.New(t)
	b := target()
	before := heap()
	table, err := b.Build()
	is.NoErr(err)
	size := heap() - before
	t.Logf("table at %d blocks and %d sites: %d bytes", targetBlocks, targetSites, size)
	is.True(size < targetBytes)
	buf := make([]lookup.Choice, 0, lookup.MaxChoices)
	caller := callers()[0]
	is.Equal(testing.AllocsPerRun(1000, func() { buf = table.Lookup(caller, buf[:0]) }), 0.0)
	runtime.KeepAlive(b)
}

func BenchmarkLookup(b *testing.B) {
	table, _ := target().Build()
	buf := make([]lookup.Choice, 0, lookup.MaxChoices)
	addrs := callers()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		buf = table.Lookup(addrs[i%len(addrs)], buf[:0])
	}
}

func BenchmarkBuild(b *testing.B) {
	builder := target()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = builder.Build()
	}
}

func BenchmarkWithBlock(b *testing.B) {
	builder := target()
	table, _ := builder.Build()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table, _ = table.WithBlock(builder.Blocks[i%targetBlocks])
	}
}

func BenchmarkWithState(b *testing.B) {
	table, _ := target().Build()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table = table.WithState(uint32(i%targetSites), lookup.Live)
	}
}

// target returns a builder of the target size, in which nearly every block has
// a distinct route.
func target() *lookup.Builder {
	r := rand.New(rand.NewPCG(1, 2))
	b := &lookup.Builder{
		Sites:   make([]lookup.Site, targetSites),
		States:  make([]lookup.State, targetSites),
		Default: []lookup.Choice{{0, 1, 0}},
	}
	for i := range b.States {
		b.States[i] = lookup.Live
	}
	seen := map[netip.Prefix]bool{}
	for len(b.Blocks) < targetBlocks {
		var addr [4]byte
		binary.BigEndian.PutUint32(addr[:], r.Uint32())
		prefix := netip.PrefixFrom(netip.AddrFrom4(addr), 12+r.IntN(13)).Masked()
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		var route []lookup.Choice
		for tier := range uint8(6) {
			route = append(route, lookup.Choice{Site: r.Uint32N(targetSites), Weight: 1, Tier: tier})
		}
		b.Blocks = append(b.Blocks, lookup.Block{Prefix: prefix, Route: route})
	}
	return b
}

func callers() []netip.Addr {
	r := rand.New(rand.NewPCG(3, 4))
	addrs := make([]netip.Addr, 4096)
	for i := range addrs {
		var addr [4]byte
		binary.BigEndian.PutUint32(addr[:], r.Uint32())
		addrs[i] = netip.AddrFrom4(addr)
	}
	return addrs
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
