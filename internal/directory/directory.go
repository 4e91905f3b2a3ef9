// Package directory selects the entries that callers connect to.
//
// Callers get the addresses of entries of their availability zone; of their region,
// if the zone has no ready entry or too little capacity; or of all regions. They pick
// one of the addresses at random, so all listed entries get the same load. Entries
// that are much smaller than others are left out if the larger ones alone have more
// capacity under an equal load.
//
// # Usage
//
//	addresses := directory.Choose(alive, "telavi-a", "east-kakheti")
package directory

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// Limit is the maximum number of addresses returned.
	Limit = 64
	// minZoneShare is the minimum capacity of a zone, as a fraction of the mean over
	// the zones of its region that have a ready entry, for its callers to stay in the
	// zone.
	minZoneShare = 0.5
)

// Choose returns the entry addresses for a caller in a zone and region, at most
// Limit. It returns none if no entry is ready.
func Choose(nodes []heartbeat.Node, zone id.Zone, region id.Region) []netip.AddrPort {
	var inZone, inRegion, all []heartbeat.Node
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
	zoneEntries, zoneCapacity := largest(inZone)
	regionEntries, regionCapacity := largest(inRegion)
	switch {
	case len(zoneEntries) > 0 && zoneCapacity >= minZoneShare*regionCapacity/float64(max(len(zones), 1)):
		return addresses(zoneEntries)
	case len(regionEntries) > 0:
		return addresses(regionEntries)
	default:
		entries, _ := largest(all)
		return addresses(entries)
	}
}

// largest returns the set of entries that has the greatest capacity if all of its
// entries get the same load, and that capacity.
func largest(nodes []heartbeat.Node) ([]heartbeat.Node, float64) {
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b heartbeat.Node) int { return cmp.Compare(capacity(&b), capacity(&a)) })
	best, count := 0.0, 0
	for i := range sorted {
		if sum := float64(i+1) * capacity(&sorted[i]); sum >= best {
			best, count = sum, i+1
		}
	}
	return sorted[:count], best
}

// capacity returns the capacity of an entry: the rate of its link. An entry that
// reports no rate counts as one of 1 Mbit/s.
func capacity(n *heartbeat.Node) float64 {
	if n.LinkMbps > 0 {
		return n.LinkMbps
	}
	return 1
}

func addresses(nodes []heartbeat.Node) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range nodes[:min(len(nodes), Limit)] {
		out = append(out, nodes[i].Callers)
	}
	return out
}
