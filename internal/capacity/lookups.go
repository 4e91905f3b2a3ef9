package capacity

import (
	"math/rand/v2"
	"net/netip"
	"strconv"

	"github.com/shallotpier/shallotpier/internal/lookup"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	measuredLookups = 200_000
	callers         = 4096
	prefixBits      = 24
)

// lookupMeasures returns the measures of answering lookups.
func lookupMeasures() []Measure {
	blocks := []int{6_250, 12_500, 25_000, 50_000, 100_000}
	return []Measure{
		{
			Role: "look-up", Quantity: "table heap B", Size: "blocks", Sizes: blocks, Target: targetBlocks,
			Run: func(n int) (float64, error) {
				var failed error
				size := heapBytes(func() any {
					t, err := lookupTable(n)
					failed = err
					return t
				})
				return size, failed
			},
		},
		{
			Role: "look-up", Quantity: "one decision, processor us", Size: "blocks", Sizes: blocks, Target: targetBlocks,
			Run: decisionCost,
		},
		{
			Role: "look-up", Quantity: "table for one changed site, processor us", Size: "blocks", Sizes: blocks, Target: targetBlocks,
			Run: func(n int) (float64, error) {
				t, err := lookupTable(n)
				if err != nil {
					return 0, err
				}
				return processorMicros(measuredChanges*10, func(i int) {
					t = t.WithState(uint32(i%targetSites), lookup.Leaving)
				})
			},
		},
	}
}

func decisionCost(blocks int) (float64, error) {
	t, err := lookupTable(blocks)
	if err != nil {
		return 0, err
	}
	r := rand.New(rand.NewPCG(1, 2))
	from := make([]netip.Addr, callers)
	for i := range from {
		from[i] = address(r.Uint32())
	}
	buf := make([]lookup.Choice, 0, lookup.MaxChoices)
	return processorMicros(measuredLookups, func(i int) {
		buf = t.Lookup(from[i%callers], buf[:0])
	})
}

func lookupTable(blocks int) (*lookup.Table, error) {
	r := rand.New(rand.NewPCG(uint64(blocks), 3))
	b := lookup.Builder{Sites: make([]lookup.Site, targetSites), States: make([]lookup.State, targetSites)}
	for i := range b.Sites {
		b.Sites[i] = lookup.Site{Instance: id.Instance("site-" + strconv.Itoa(i)), Caller: netip.AddrPortFrom(address(uint32(i)), 80)}
		b.States[i] = lookup.Live
	}
	b.Default = route(r)
	seen := map[netip.Prefix]bool{}
	for len(seen) < blocks {
		p := netip.PrefixFrom(address(r.Uint32()), prefixBits).Masked()
		if !seen[p] {
			seen[p] = true
			b.Blocks = append(b.Blocks, lookup.Block{Prefix: p, Route: route(r)})
		}
	}
	return b.Build()
}

func route(r *rand.Rand) []lookup.Choice {
	var out []lookup.Choice
	for tier := range sitesOfBlock {
		out = append(out, lookup.Choice{Site: uint32(r.IntN(targetSites)), Weight: 1, Tier: uint8(tier)})
	}
	return out
}

func address(n uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}
