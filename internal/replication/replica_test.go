package replication_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/replication"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// randomNearest returns three random sites for each client block.
func randomNearest(sites, blocks int, seed uint64) [][]replication.Site {
	r := rand.New(rand.NewPCG(seed, 1))
	nearest := make([][]replication.Site, blocks)
	for b := range nearest {
		for range 3 {
			nearest[b] = append(nearest[b], replication.Site(r.IntN(sites)))
		}
	}
	return nearest
}

func TestReplicaApply(t *testing.T) {
	nearest := randomNearest(10, 50, 1)
	origin := replication.NewReplica(10, nearest)
	first := replication.Epoch{Number: 1, Changes: []replication.Change{{Version: 1, Kind: replication.SetLeaving, Site: 3}}}
	origin.Advance(first.Changes)
	first.Digest = origin.Digest()
	second := replication.Epoch{Number: 2, Changes: []replication.Change{{Version: 2, Kind: replication.SetBlock, Block: 7, Sites: []replication.Site{1, 2}}}}
	origin.Advance(second.Changes)
	second.Digest = origin.Digest()
	wrong := first
	wrong.Digest++

	tests := map[string]struct {
		epochs []replication.Epoch
		want   error
		epoch  uint64
	}{
		"in order":          {epochs: []replication.Epoch{first, second}, epoch: 2},
		"repeated":          {epochs: []replication.Epoch{first, first}, want: replication.ErrOld, epoch: 1},
		"one missing":       {epochs: []replication.Epoch{second}, want: replication.ErrGap},
		"other digest":      {epochs: []replication.Epoch{wrong}, want: replication.ErrDiverged, epoch: 1},
		"older after newer": {epochs: []replication.Epoch{first, second, first}, want: replication.ErrOld, epoch: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := replication.NewReplica(10, nearest)
			var err error
			for _, e := range tt.epochs {
				err = r.Apply(&e)
			}
			is.True(errors.Is(err, tt.want))
			is.Equal(r.Epoch(), tt.epoch)
			for b := range nearest {
				for _, s := range r.Row(replication.Block(b)) {
					is.True(tt.epoch == 0 || s != 3 || len(r.Row(replication.Block(b))) == 1) // a leaving site is not in the row
				}
			}
		})
	}
}

func TestEpochCheckRejects(t *testing.T) {
	tests := map[string]replication.Epoch{
		"no number":         {},
		"unknown kind":      {Number: 1, Changes: []replication.Change{{Kind: "x"}}},
		"site too high":     {Number: 1, Changes: []replication.Change{{Kind: replication.SetWeight, Site: 10}}},
		"weight too high":   {Number: 1, Changes: []replication.Change{{Kind: replication.SetWeight, Weight: replication.MaxWeight + 1}}},
		"block too high":    {Number: 1, Changes: []replication.Change{{Kind: replication.SetBlock, Block: 50, Sites: []replication.Site{1}}}},
		"block has no site": {Number: 1, Changes: []replication.Change{{Kind: replication.SetBlock, Block: 1}}},
	}
	for name, e := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(e.Check(10, 50) != nil)
		})
	}
}

// TestReplicaDigestEqualsRebuild checks that the digest updated incrementally
// over random changes equals that of a replica that applies all of them at
// once.
func TestReplicaDigestEqualsRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nearest := randomNearest(8, 20, 3)
		incremental := replication.NewReplica(8, nearest)
		var all []replication.Change
		for range rapid.IntRange(1, 10).Draw(t, "epochs") {
			c := replication.Change{
				Kind:   rapid.SampledFrom([]replication.Kind{replication.SetWeight, replication.SetLeaving, replication.SetBlock}).Draw(t, "kind"),
				Site:   replication.Site(rapid.IntRange(0, 7).Draw(t, "site")),
				Weight: uint16(rapid.IntRange(0, 2).Draw(t, "weight")),
				Block:  replication.Block(rapid.IntRange(0, 19).Draw(t, "block")),
				Sites:  []replication.Site{replication.Site(rapid.IntRange(0, 7).Draw(t, "to"))},
			}
			all = append(all, c)
			incremental.Advance([]replication.Change{c})
		}
		rebuilt := replication.NewReplica(8, nearest)
		rebuilt.Advance(all)
		if incremental.Digest() != rebuilt.Digest() {
			t.Fatalf("digest %x after single changes, %x after all at once", incremental.Digest(), rebuilt.Digest())
		}
	})
}

func TestTreeReachesEveryMemberOnce(t *testing.T) {
	for _, n := range []int{1, 2, 7, 165, 700} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			tree := replication.Tree{Relays: 2, Fanout: 8}
			var members []id.Instance
			for i := range n {
				members = append(members, id.Instance(fmt.Sprintf("entry-%d", i)))
			}
			ordered := tree.Order(members)
			got := map[id.Instance]int{}
			for _, m := range ordered {
				if tree.IsRelay(ordered, m) {
					got[m]++
				}
				for _, c := range tree.Children(ordered, m) {
					got[c]++
				}
			}
			is.Equal(len(got), n)
			for _, times := range got {
				is.Equal(times, 1)
			}
		})
	}
}

func TestTreeDepth(t *testing.T) {
	tests := map[string]struct{ members, want int }{
		"relays only":                {members: 2, want: 0},
		"seven entries":              {members: 7, want: 1},
		"a zone at the target":       {members: 165, want: 3},
		"all of a large region":      {members: 700, want: 3},
		"one more than for two hops": {members: 147, want: 3},
		"maximum for two hops":       {members: 146, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(replication.Tree{Relays: 2, Fanout: 8}.Depth(tt.members), tt.want)
		})
	}
}
