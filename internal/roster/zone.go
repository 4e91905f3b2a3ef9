package roster

import (
	"log/slog"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// zoneFailureServers is the number of servers of a zone that must be unreachable,
	// without an answer from the zone in between, before the whole zone counts as
	// unreachable.
	zoneFailureServers = 3
	// zoneFailureWindow is the time within which they must fail.
	zoneFailureWindow = 2 * time.Second
	// zoneCheckInterval is the interval between checks of an unreachable zone, and so
	// the maximum delay until its recovery is detected.
	zoneCheckInterval = 300 * time.Millisecond
)

// reachability tracks whether this entry can reach an availability zone. Without it,
// a power loss or network partition of a zone would have to be detected server by
// server.
type reachability struct {
	zone id.Zone
	log  *slog.Logger

	mu          sync.Mutex
	failures    map[id.Server]time.Time // time of the last failure by server, since the last answer
	unreachable bool
	recovered   time.Time // when it last became reachable again
	lastCheck   time.Time
	checks      int // number of checks, selects the next server
}

// succeeded records that a server of the zone answered or accepted a connection.
func (r *reachability) succeeded(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.failures)
	if r.unreachable {
		r.unreachable, r.recovered = false, now
		r.log.Info("zone reached again", "zone", r.zone)
	}
}

// connectFailed records that a connection to a server of the zone failed.
func (r *reachability) connectFailed(now time.Time, name id.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures == nil {
		r.failures = make(map[id.Server]time.Time)
	}
	r.failures[name] = now
	recent := 0
	for _, at := range r.failures {
		if now.Sub(at) < zoneFailureWindow {
			recent++
		}
	}
	if !r.unreachable && recent >= zoneFailureServers {
		r.unreachable = true
		r.log.Warn("zone out of reach", "zone", r.zone, "servers", recent)
	}
}

// ok reports whether requests may be sent to the zone.
func (r *reachability) ok() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.unreachable
}

// recoveredSince reports whether the zone became reachable again after the given time.
func (r *reachability) recoveredSince(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recovered.After(at)
}

// nextCheck returns the index of the server to check now, among the given number of
// servers of the zone; -1 if no check is due.
func (r *reachability) nextCheck(now time.Time, servers int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.unreachable || servers == 0 || now.Sub(r.lastCheck) < zoneCheckInterval {
		return -1
	}
	r.lastCheck = now
	r.checks++
	return r.checks % servers
}
