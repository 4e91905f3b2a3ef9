// Package relay selects the entries that a request is passed on to by an entry that has
// lost its links to backend servers.
//
// Entries report, for each service, the share of its servers that they can't reach. Where
// servers are down, the reports of all entries agree, and passing a request on is of no
// use. An entry that misses servers which others reach has lost its links: it passes
// requests on to those, at once if it misses most servers of the service, else if no
// server can be chosen or connected to.
//
// # Usage
//
//	s := &relay.Selector{Region: "fyn", Unreached: unreached, Others: detector.Alive}
//	for _, e := range s.Entries(now, "registry", route.Allows) {
//		send(e.Relay, request)
//	}
package relay

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// lostShare is the share of a service's servers from which an entry that can't reach
	// them has lost its links, and below which another one may serve its requests.
	lostShare = 0.5
	// minAdvantage is the least difference of two shares that isn't explained by entries
	// that notice the end of a server at different times.
	minAdvantage = 0.3
	// maxEntries is the maximum number of entries to try.
	maxEntries = 3
)

// Selector selects entries. Its fields must not change after the first call. It is safe for
// concurrent use.
type Selector struct {
	// Region is the region of this entry.
	Region id.Region
	// Unreached returns the share of the servers of each service that this entry can't
	// reach. Services of which it reaches all servers may be left out.
	Unreached func() map[id.Service]float64
	// Others returns the other live entries.
	Others func(now time.Time) []heartbeat.Node
}

// LinksLost reports whether this entry can't reach most servers of a service, so that its
// requests should be passed on if others reach more.
func (s *Selector) LinksLost(svc id.Service) bool { return s.Unreached()[svc] >= lostShare }

// Entries returns the entries to pass a request for a service on to, in order: those of
// this region first, in random order. Regions for which allows returns false are left out.
func (s *Selector) Entries(now time.Time, svc id.Service, allows func(id.Region) bool) []heartbeat.Node {
	own := s.Unreached()[svc]
	limit := min(own, lostShare)
	if own >= lostShare {
		limit = own - minAdvantage
	}
	others := slices.DeleteFunc(s.Others(now), func(n heartbeat.Node) bool {
		missed := n.Unreached[svc]
		return !n.Ready || n.Relay == (netip.AddrPort{}) || !allows(n.Region) || missed >= lostShare || missed > limit
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b heartbeat.Node) int {
		switch near := a.Region == s.Region; {
		case near == (b.Region == s.Region):
			return 0
		case near:
			return -1
		default:
			return 1
		}
	})
	return others[:min(len(others), maxEntries)]
}
