// Package dispatch chooses the backend server for a request.
//
// The owner of a request's object comes first, in whatever region it stands: a
// server answers much faster for objects that it handled recently. A server
// that this entry already keeps busy, that is cold beyond its rate, or that
// failed, is passed over for the next in the object's ranking, which is the same
// at all entries.
//
// # Usage
//
//	d := dispatch.Dispatcher{Roster: r}
//	m := d.Choose(now, &dispatch.Request{Service: "registry", Key: key, Route: route})
//	if m == nil {
//		return errNoCapacity
//	}
//	defer m.End(time.Now(), health.Answered)
package dispatch

import (
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// overflow is how many requests of this entry a server may have, in multiples of
// its slots, when no allowed server has a slot free by this entry's count. The
// server queues them or refuses them unrun.
const overflow = 2

type (
	// Request is what the choice depends on.
	Request struct {
		// Service is the service that gets the request.
		Service id.Service
		// Route is the request's route.
		Route *route.Route
		// Key stands for the request's object, see owner.Key.
		Key uint64
		// Tried are servers that must not be chosen again.
		Tried []id.Server
	}

	// Dispatcher chooses servers. It is safe for concurrent use.
	Dispatcher struct {
		// Roster holds the servers.
		Roster *roster.Roster
	}
)

// Choose returns the server for a request, with the request begun there, or nil
// if no server may get it now.
func (d *Dispatcher) Choose(now time.Time, req *Request) *roster.Member {
	members := d.Roster.View().Members(req.Service)
	for _, limit := range []int{1, overflow} {
		var skipped []*roster.Member
		for {
			m := best(now, members, req, limit, skipped)
			if m == nil {
				break
			}
			if m.Begin(now) {
				return m
			}
			skipped = append(skipped, m)
		}
	}
	return nil
}

// best returns the highest ranked server with fewer requests of this entry than
// limit times its slots.
func best(now time.Time, members []*roster.Member, req *Request, limit int, skipped []*roster.Member) *roster.Member {
	var (
		found *roster.Member
		top   uint64
	)
	for _, m := range members {
		score := owner.Score(req.Key, m.Seed)
		if found != nil && score <= top {
			continue
		}
		if m.InFlight() >= limit*m.Slots || !req.Route.Allows(m.Region) || slices.Contains(req.Tried, m.Name) ||
			slices.Contains(skipped, m) || !m.Ready(now) {
			continue
		}
		found, top = m, score
	}
	return found
}
