package roster

import (
	"log/slog"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// suspectServers is how many servers of a zone must be out of reach, with no
	// answer from the zone meanwhile, until the whole zone is taken to be.
	suspectServers = 3
	// suspectSpan is the time in which they must fail.
	suspectSpan = 2 * time.Second
	// zoneCheckTime is the pause between two checks of a zone that is out of reach:
	// the longest time that its callers wait for its return.
	zoneCheckTime = 300 * time.Millisecond
)

// reach is what this entry knows of its path to an availability zone. When a zone
// loses power or is cut off, it would otherwise find out server by server.
type reach struct {
	zone id.Zone
	log  *slog.Logger

	mu       sync.Mutex
	failed   map[id.Server]time.Time // since the last answer
	lost     bool                    // the zone is out of reach
	regained time.Time               // when it was last reached again
	checked  time.Time
	turn     int // counts the checks
}

// answered notes that a server of the zone answered or took a connection.
func (r *reach) answered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.failed)
	if r.lost {
		r.lost, r.regained = false, now
		r.log.Info("zone reached again", "zone", r.zone)
	}
}

// unreached notes that a server of the zone is out of reach.
func (r *reach) unreached(now time.Time, name id.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = make(map[id.Server]time.Time)
	}
	r.failed[name] = now
	recent := 0
	for _, at := range r.failed {
		if now.Sub(at) < suspectSpan {
			recent++
		}
	}
	if !r.lost && recent >= suspectServers {
		r.lost = true
		r.log.Warn("zone out of reach", "zone", r.zone, "servers", recent)
	}
}

// open tells whether requests may go to the zone.
func (r *reach) open() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lost
}

// regainedSince tells whether the zone was reached again after a time.
func (r *reach) regainedSince(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.regained.After(at)
}

// check returns which of so many servers of the zone is to be checked now; -1 if
// none is.
func (r *reach) check(now time.Time, servers int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lost || servers == 0 || now.Sub(r.checked) < zoneCheckTime {
		return -1
	}
	r.checked = now
	r.turn++
	return r.turn % servers
}
