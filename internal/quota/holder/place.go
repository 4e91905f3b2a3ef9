package holder

import (
	"net/netip"
	"slices"

	"github.com/shallotpier/shallotpier/internal/quota/bucket"
)

// Place is an entry that is accountable for one part of the limit.
type Place struct {
	// Entry is its address for other entries.
	Entry netip.AddrPort
	// Alive is set if it can be asked, Distance orders entries by nearness.
	Alive    bool
	Distance int
	// Own is the account if it is this entry and may grant, otherwise nil.
	Own *bucket.Account
}

// Arrange returns the accountable entries, nearest first: this entry, then others by distance,
// then those that can't be asked. An entry may have several places. It sorts places.
func Arrange(places []Place) []Part {
	order := func(p *Place) int {
		switch {
		case p.Own != nil:
			return -1
		case p.Alive:
			return p.Distance
		default:
			return 1 << 30
		}
	}
	slices.SortStableFunc(places, func(a, b Place) int { return order(&a) - order(&b) })
	parts := make([]Part, 0, len(places))
	for _, p := range places {
		if i := slices.IndexFunc(parts, func(other Part) bool { return other.Entry == p.Entry }); i >= 0 {
			parts[i].Parts++
			continue
		}
		parts = append(parts, Part{Entry: p.Entry, Parts: 1, Alive: p.Alive, Own: p.Own})
	}
	return parts
}
