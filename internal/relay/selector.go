// Package relay selects the entries that a request is passed on to by an entry that has
// lost its links to backend servers.
//
// Entries report, for each service, the share of its servers that they can't reach. Where
// servers are down, the reports of all entries agree, and passing a request on is of no
// use. An entry that misses servers which others reach has lost its links: it passes
// requests on to those, at once if it misses nearly all servers of the service, else if no
// server can be chosen or connected to, or the few that are left are full. An entry that
// takes no connection is left out for some time, so that one that is cut off from the other
// entries too refuses requests at once.
//
// # Usage
//
//	s := &relay.Selector{Region: "fyn", Unreached: unreached, Others: detector.Alive}
//	for _, e := range s.Entries(now, "registry", route.Allows) {
//		send(e.Relay, request)
//	}
package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// lostShare is the share of a service's servers from which an entry that can't reach
	// them has lost its links. An entry whose availability zone is cut off from all others
	// still reaches the servers of its zone.
	lostShare = 0.9
	// mostShare is the share from which the servers that are left say nothing of what the
	// service can take.
	mostShare = 0.5
	// minAdvantage is the least difference between the shares of this entry and of one
	// that may serve its requests, which entries that notice the end of a server at
	// different times don't explain. It is also the greatest share of an entry that may
	// serve requests of one that hasn't noticed the loss of its links.
	minAdvantage = 0.1
	// failurePause is how long an entry is left out after it took no connection.
	failurePause = 2 * time.Second
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

	mu     sync.Mutex
	failed map[id.Instance]time.Time
}

// LinksLost reports whether nearly all servers of a service are out of reach of this entry,
// so that its requests should be passed on if others reach more.
func (s *Selector) LinksLost(svc id.Service) bool { return s.Unreached()[svc] >= lostShare }

// MissesMost reports whether this entry can't reach most servers of a service.
func (s *Selector) MissesMost(svc id.Service) bool { return s.Unreached()[svc] >= mostShare }

// Entries returns the entries to pass a request for a service on to, in order: those of
// this region first, in random order. Regions for which allows returns false are left out.
func (s *Selector) Entries(now time.Time, svc id.Service, allows func(id.Region) bool) []heartbeat.Node {
	limit := max(s.Unreached()[svc]-minAdvantage, minAdvantage)
	s.mu.Lock()
	defer s.mu.Unlock()
	others := slices.DeleteFunc(s.Others(now), func(n heartbeat.Node) bool {
		return !n.Ready || !n.Relay.IsValid() || !allows(n.Region) || n.Unreached[svc] > limit ||
			now.Sub(s.failed[n.Instance]) < failurePause
	})
	least := 1.0
	for i := range others {
		least = min(least, others[i].Unreached[svc])
	}
	// One that misses more than another has probably lost its links as well.
	others = slices.DeleteFunc(others, func(n heartbeat.Node) bool { return n.Unreached[svc] > least+minAdvantage })
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

// Failed records that an entry took no connection.
func (s *Selector) Failed(now time.Time, entry id.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = make(map[id.Instance]time.Time)
	}
	maps.DeleteFunc(s.failed, func(_ id.Instance, at time.Time) bool { return now.Sub(at) >= failurePause })
	s.failed[entry] = now
}
