// Package directory tells callers which entries to connect to.
//
// Callers get entries of their availability zone, or of their region if the zone
// has none that is ready or too little capacity, or else all. They pick one of the
// addresses at random, so all that are named get the same load: entries that are
// much smaller than others are left out, where the larger ones alone can carry more
// than all with an even share.
//
// # Usage
//
//	addresses := directory.Choose(alive, "telavi-a", "east-kakheti")
package directory

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/shallotpier/shallotpier/internal/beacon"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// Limit is the greatest number of addresses that are named.
	Limit = 64
	// fairShare is how much of an even share of its region's capacity a zone
	// must have to keep its callers.
	fairShare = 0.5
)

// Choose returns the addresses for a caller in a zone and region. It is empty if
// no entry is ready.
func Choose(nodes []beacon.Node, zone id.Zone, region id.Region) []netip.AddrPort {
	var inZone, inRegion, all []beacon.Node
	zones := make(map[id.Zone]bool)
	for _, n := range nodes {
		if !n.Ready {
			continue
		}
		all = append(all, n)
		if n.Region == region {
			inRegion = append(inRegion, n)
			zones[n.Zone] = true
		}
		if n.Zone == zone {
			inZone = append(inZone, n)
		}
	}
	near, own := carriers(inZone)
	wide, total := carriers(inRegion)
	switch {
	case len(near) > 0 && own >= fairShare*total/float64(max(len(zones), 1)):
		return addresses(near)
	case len(wide) > 0:
		return addresses(wide)
	default:
		most, _ := carriers(all)
		return addresses(most)
	}
}

// carriers returns the entries that carry most together if all get the same load,
// and how much that is.
func carriers(nodes []beacon.Node) ([]beacon.Node, float64) {
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b beacon.Node) int { return cmp.Compare(capacity(&b), capacity(&a)) })
	best, count := 0.0, 0
	for i := range sorted {
		if sum := float64(i+1) * capacity(&sorted[i]); sum >= best {
			best, count = sum, i+1
		}
	}
	return sorted[:count], best
}

// capacity is what an entry can carry, as its link's rate. An entry that names
// none counts as one of 1 Mbit/s.
func capacity(n *beacon.Node) float64 {
	if n.LinkMbps > 0 {
		return n.LinkMbps
	}
	return 1
}

func addresses(nodes []beacon.Node) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range nodes[:min(len(nodes), Limit)] {
		out = append(out, nodes[i].Callers)
	}
	return out
}
