package node

import (
	"fmt"
	"time"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// objectNotices is the part of the notices for an even load that may be about objects. The
// rest, and what new objects don't need, is about the servers' paces.
const objectNotices = 0.75

// evenLoadNotices returns notices for an even load for a heartbeat.
func (n *Node) evenLoadNotices(now time.Time, round uint64, size int) (objects, paces []byte) {
	objects = n.dispatcher.ObjectNotices(now, round, int(objectNotices*float64(size)))
	return objects, n.Roster.PaceNotices(now, round, size-len(objects))
}

// loadGauges registers the gauges of how evenly a service's load is spread over its servers.
func (n *Node) loadGauges(svc id.Service) {
	gauge := func(name string, value func(roster.Spread) float64) {
		n.options.Metrics.GetOrCreateGauge(fmt.Sprintf(`shallotpier_%s{service=%q}`, name, svc), func() float64 {
			return value(n.Roster.View().Spread(time.Now(), svc))
		})
	}
	gauge("load_busiest", func(s roster.Spread) float64 { return s.Busiest })
	gauge("load_variation", func(s roster.Spread) float64 { return s.Variation })
	gauge("pace_slowest", func(s roster.Spread) float64 { return s.Slowest })
	n.options.Metrics.GetOrCreateGauge(fmt.Sprintf(`shallotpier_objects{service=%q}`, svc), func() float64 {
		return float64(n.dispatcher.Objects(svc))
	})
}
