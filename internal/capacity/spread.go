package capacity

import (
	"encoding/json"
	"math/rand/v2"
	"runtime"

	"github.com/shallotpier/shallotpier/internal/spread"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	targetNodes  = 6_600
	targetBlocks = 100_000
	targetSites  = 2_100
	sitesOfBlock = 3
	repeats      = 200
)

// spreading returns the measures of the role that keeps and passes on the
// changes of intent.
func spreading() []Measure {
	blocks := []int{6_250, 12_500, 25_000, 50_000, 100_000}
	return []Measure{
		{
			Role: "spreading", Quantity: "replica heap B", Size: "blocks", Sizes: blocks, Target: targetBlocks,
			Run: func(n int) (float64, error) {
				nearest := clientBlocks(n)
				defer runtime.KeepAlive(nearest)
				return heapBytes(func() any { return spread.NewReplica(targetSites, nearest) }), nil
			},
		},
		{
			Role: "spreading", Quantity: quantityApply, Size: "blocks", Sizes: blocks, Target: targetBlocks,
			Run: applyChange,
		},
		{
			Role: "spreading", Quantity: quantityEpoch, Size: "changes in it", Sizes: []int{1, 2, 4, 8, 16, 32}, Target: 1,
			Run: func(n int) (float64, error) {
				data, err := json.Marshal(epochOf(n))
				return float64(len(data)), err
			},
		},
	}
}

func applyChange(blocks int) (float64, error) {
	r := spread.NewReplica(targetSites, clientBlocks(blocks))
	return processorMicros(repeats, func(i int) {
		r.Advance([]spread.Change{{Kind: spread.SetLeaving, Site: spread.Site(i % targetSites), Weight: 0}})
	})
}

func epochOf(changes int) spread.Epoch {
	e := spread.Epoch{Number: 4_000_000, Digest: 1 << 63}
	for i := range changes {
		e.Changes = append(e.Changes, spread.Change{Version: id.Version(4_380_000 + i), Kind: spread.SetWeight, Site: 2000, Weight: 100})
	}
	return e
}

func clientBlocks(n int) [][]spread.Site {
	r := rand.New(rand.NewPCG(uint64(n), 1))
	out := make([][]spread.Site, n)
	for b := range out {
		for range sitesOfBlock {
			out[b] = append(out[b], spread.Site(r.IntN(targetSites)))
		}
	}
	return out
}
