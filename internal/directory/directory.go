// Package directory tells callers which entries to connect to.
//
// Callers get the entries of their availability zone that are ready, else those
// of their region, else all. They pick one of the addresses at random.
//
// # Usage
//
//	nodes := directory.Choose(alive, "telavi-a", "east-kakheti")
package directory

import (
	"net/netip"

	"github.com/shallotpier/shallotpier/internal/beacon"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Limit is the greatest number of addresses that are named.
const Limit = 64

// Choose returns the addresses for a caller in a zone and region, in the order
// of nodes. It is empty if no entry is ready.
func Choose(nodes []beacon.Node, zone id.Zone, region id.Region) []netip.AddrPort {
	nearby := []func(n *beacon.Node) bool{
		func(n *beacon.Node) bool { return n.Zone == zone },
		func(n *beacon.Node) bool { return n.Region == region },
		func(*beacon.Node) bool { return true },
	}
	for _, near := range nearby {
		var out []netip.AddrPort
		for i := range nodes {
			if nodes[i].Ready && near(&nodes[i]) && len(out) < Limit {
				out = append(out, nodes[i].Callers)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}
