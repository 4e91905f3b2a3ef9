// Package rank determines which entries are accountable for an organisation's limit.
//
// These are the first by rendezvous hashing over all known entries, alive or not, so that all
// entries with the same list agree without communication. An entry that is added or removed
// changes the accountable entries of few organisations.
//
// # Usage
//
//	seeds := []uint64{rank.Seed(self), rank.Seed(other)}
//	accountable := rank.First(rank.Key("acme"), seeds) // indexes into seeds
package rank

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Seed returns the hash of an entry's address for other entries.
func Seed(peers netip.AddrPort) uint64 { return owner.Seed(id.Server(peers.String())) }

// Key returns the hash of an organisation's name.
func Key(o id.Organisation) uint64 { return xxhash.Sum64String(string(o)) }

// First returns the indexes of the entries that are accountable for the parts of an
// organisation's limit. With fewer entries than parts, the first ones have several. It is
// -1 for all parts if there are no entries.
func First(key uint64, seeds []uint64) [quota.Parts]int {
	var (
		best   [quota.Parts]int
		scores [quota.Parts]uint64
	)
	found := 0
	for i, seed := range seeds {
		score := owner.Score(key, seed)
		if found == quota.Parts && score <= scores[quota.Parts-1] {
			continue
		}
		at := min(found, quota.Parts-1)
		for ; at > 0 && scores[at-1] < score; at-- {
			best[at], scores[at] = best[at-1], scores[at-1]
		}
		best[at], scores[at] = i, score
		found = min(found+1, quota.Parts)
	}
	for i := found; i < quota.Parts; i++ {
		best[i] = -1
		if found > 0 {
			best[i] = best[i%found]
		}
	}
	return best
}
