package capacity

import (
	"encoding/json"
	"math/rand/v2"
	"runtime"

	"github.com/shallotpier/shallotpier/internal/replication"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	targetNodes     = 6_600
	targetBlocks    = 100_000
	targetSites     = 2_100
	sitesOfBlock    = 3
	measuredChanges = 200
)

// replicaMeasures returns the measures of replicating configuration changes with
// package replication.
func replicaMeasures() []Measure {
	blocks := []int{6_250, 12_500, 25_000, 50_000, 100_000}
	return []Measure{
		{
			Role: "spreading", Quantity: "replica heap B", Size: "blocks", Sizes: blocks, Target: targetBlocks,
			Run: func(n int) (float64, error) {
				nearest := newBlocks(n)
				defer runtime.KeepAlive(nearest)
				return heapBytes(func() any { return replication.NewReplica(targetSites, nearest) }), nil
			},
		},
		{
			Role: "spreading", Quantity: quantityApply, Size: "blocks", Sizes: blocks, Target: targetBlocks,
			Run: applyCost,
		},
		{
			Role: "spreading", Quantity: quantityEpoch, Size: "changes in it", Sizes: []int{1, 2, 4, 8, 16, 32}, Target: 1,
			Run: func(n int) (float64, error) {
				data, err := json.Marshal(newEpoch(n))
				return float64(len(data)), err
			},
		},
	}
}

func applyCost(blocks int) (float64, error) {
	r := replication.NewReplica(targetSites, newBlocks(blocks))
	return processorMicros(measuredChanges, func(i int) {
		r.Advance([]replication.Change{{Kind: replication.SetLeaving, Site: replication.Site(i % targetSites), Weight: 0}})
	})
}

func newEpoch(changes int) replication.Epoch {
	e := replication.Epoch{Number: 4_000_000, Digest: 1 << 63}
	for i := range changes {
		e.Changes = append(e.Changes, replication.Change{Version: id.Version(4_380_000 + i), Kind: replication.SetWeight, Site: 2000, Weight: 100})
	}
	return e
}

func newBlocks(n int) [][]replication.Site {
	r := rand.New(rand.NewPCG(uint64(n), 1))
	out := make([][]replication.Site, n)
	for b := range out {
		for range sitesOfBlock {
			out[b] = append(out[b], replication.Site(r.IntN(targetSites)))
		}
	}
	return out
}
