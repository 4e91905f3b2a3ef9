package roster

import (
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
	// trialTime is the pause between two requests that try a suspected zone.
	trialTime = 300 * time.Millisecond
)

// reach is what this entry knows of its path to an availability zone. When a zone
// loses power or is cut off, it would otherwise find out server by server.
type reach struct {
	mu     sync.Mutex
	failed map[id.Server]time.Time // since the last answer
	tried  time.Time
}

// answered notes an answer of any server of the zone.
func (r *reach) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.failed)
}

// unreached notes that a server of the zone is out of reach.
func (r *reach) unreached(now time.Time, name id.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = make(map[id.Server]time.Time)
	}
	r.failed[name] = now
}

// open tells whether a request may go to the zone: always if the zone is not
// suspected, and as a trial from time to time otherwise.
func (r *reach) open(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.suspected(now) || now.Sub(r.tried) >= trialTime
}

// try notes a request to the zone, which is a trial if the zone is suspected.
func (r *reach) try(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failed) > 0 {
		r.tried = now
	}
}

func (r *reach) suspected(now time.Time) bool {
	recent := 0
	for _, at := range r.failed {
		if now.Sub(at) < suspectSpan {
			recent++
		}
	}
	return recent >= suspectServers
}
