package replication

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Tree is the tree along which epochs are forwarded within an availability
// zone. All members compute it from the same member list. A member with another
// list may receive an epoch twice or not at all: Replica.Apply rejects the
// duplicate, and the epoch numbers in heartbeats reveal the gap.
type Tree struct {
	// Relays is the number of roots, which read the platform's store.
	Relays int
	// Fanout is the maximum number of children of a member.
	Fanout int
}

// Order returns the members in the order of the tree, relays first. It sorts by
// a hash of the name, so that members that join or leave change the level of
// few others.
func (t Tree) Order(members []id.Instance) []id.Instance {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b id.Instance) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	return out
}

// Children returns the members to which self forwards epochs. ordered is the
// result of Order.
func (t Tree) Children(ordered []id.Instance, self id.Instance) []id.Instance {
	at := slices.Index(ordered, self)
	if at < 0 || t.Fanout < 1 {
		return nil
	}
	first := t.relays(len(ordered)) + at*t.Fanout
	if first >= len(ordered) {
		return nil
	}
	return ordered[first:min(first+t.Fanout, len(ordered))]
}

// IsRelay reports whether self reads the platform's store.
func (t Tree) IsRelay(ordered []id.Instance, self id.Instance) bool {
	at := slices.Index(ordered, self)
	return at >= 0 && at < t.relays(len(ordered))
}

// Depth returns the number of hops from a relay to the farthest of n members.
func (t Tree) Depth(n int) int {
	depth := 0
	for at := n - 1; at >= t.relays(n) && t.Fanout > 0; depth++ {
		at = (at - t.relays(n)) / t.Fanout
	}
	return depth
}

func (t Tree) relays(n int) int { return min(max(t.Relays, 1), n) }
