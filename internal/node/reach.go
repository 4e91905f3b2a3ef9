package node

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// reachStep is the difference of a share of servers out of reach from which it is
	// logged.
	reachStep = 0.25
	// maxMissedHeartbeats is the number of heartbeats that an entry to pass requests on
	// to may have missed: heartbeats that leaders relay take up to two intervals more.
	maxMissedHeartbeats = 3
)

// updateReach determines the share of the servers of each service that the entry can't
// reach. Services of which it reaches all are left out.
func (n *Node) updateReach(now time.Time) {
	unreached := make(map[id.Service]float64)
	view := n.Roster.View()
	for _, svc := range view.Services() {
		members, missed := view.Members(svc), 0
		for _, m := range members {
			if m.Missed(now) {
				missed++
			}
		}
		if missed > 0 {
			// Rounded, so that a heartbeat stays short.
			unreached[svc] = math.Round(100*float64(missed)/float64(len(members))) / 100
		}
	}
	n.unreached.Store(&unreached)
	n.logReach(unreached)
}

// logReach logs the services whose share has changed much since the last line. It is
// called by tick only.
func (n *Node) logReach(unreached map[id.Service]float64) {
	services := slices.Collect(maps.Keys(unreached))
	for svc := range n.loggedUnreached {
		if unreached[svc] == 0 {
			services = append(services, svc)
		}
	}
	slices.Sort(services)
	for _, svc := range services {
		before, now := n.loggedUnreached[svc], unreached[svc]
		if math.Abs(now-before) < reachStep && (now == 0) == (before == 0) {
			continue
		}
		n.options.Log.Info("servers out of reach", "service", svc, "shareBefore", before, "share", now, "servers", len(n.Roster.View().Members(svc)))
		if n.loggedUnreached == nil {
			n.loggedUnreached = make(map[id.Service]float64)
		}
		n.loggedUnreached[svc] = now
		if now == 0 {
			delete(n.loggedUnreached, svc)
		}
	}
}

// unreachedServers returns the result of the last updateReach.
func (n *Node) unreachedServers() map[id.Service]float64 {
	if u := n.unreached.Load(); u != nil {
		return *u
	}
	return nil
}

// recentlyHeard returns the live entries without those that have missed heartbeats, to which
// the path may be cut.
func (n *Node) recentlyHeard(now time.Time) []heartbeat.Node {
	limit := maxMissedHeartbeats * n.options.HeartbeatInterval
	return slices.DeleteFunc(n.Heartbeats.Alive(now), func(other heartbeat.Node) bool {
		silent, heard := n.Heartbeats.SilentFor(now, other.Peers)
		return !heard || silent > limit
	})
}

// reachGauge registers the gauge of the share of a service's servers out of reach.
func (n *Node) reachGauge(svc id.Service) {
	n.options.Metrics.GetOrCreateGauge(fmt.Sprintf(`shallotpier_servers_unreached{service=%q}`, svc), func() float64 {
		return n.unreachedServers()[svc]
	})
}
