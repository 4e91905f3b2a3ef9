package admitorder

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// States of a request with regard to its organisation's share.
const (
	// Within requests are within the organisation's share of the demand.
	Within Share = "within"
	// Above requests are beyond it, or repeat a refused request before the time that its
	// caller was told.
	Above Share = "above"
)

// latestRetry is the part of the time left by which the first ones in the order come back later.
// Together with 1/8 and a jitter of 1/8 that is a third, which callers still heed.
const latestRetry = 12

type (
	// Share tells whether a request is within its organisation's share.
	Share string

	// Class is what requests of the same urgency and kind are in. Lower values are more
	// urgent.
	Class struct {
		// Priority is the effective priority: the organisation's, or else the route's.
		Priority int
		// RoutePriority is the route's priority. It decides between requests of the same
		// effective priority.
		RoutePriority int
		// Kind is the kind of the requests and Objective their latency objective, 0 for none.
		// They aren't compared; shares are separate.
		Kind      service.Kind
		Objective time.Duration
	}

	// Request is what the place of a request depends on.
	Request struct {
		// Service is the service that gets the request.
		Service id.Service
		// Organisation is the organisation of the caller, empty for callers of none.
		Organisation id.Organisation
		// Class is the request's class.
		Class Class
		// Repeated is set if the caller repeats a refused request before the time that it
		// was told.
		Repeated bool
	}

	// Place is a request's place in the order of refusal.
	Place struct {
		// At is the place, from 0 (refused first) to 1.
		At float64
		// Draw replaces the request's uniform draw where refusals are decided. It has the same
		// order as At.
		Draw float64
		// Objective is the shortest latency objective of the classes that are at least as
		// urgent, 0 if none has one. With a longer one, requests that are less urgent would be
		// queued where more urgent ones are refused.
		Objective time.Duration
		// Share tells whether the request is within its organisation's share.
		Share Share
		// Guaranteed is set if the request is ordered before all others so that its class
		// gets a quarter of the mean.
		Guaranteed bool

		cell *cell
	}

	// Order keeps the record of the demand. The zero Order is ready for use and safe for
	// concurrent use.
	Order struct {
		// Refusals are the recent refusals.
		Refusals Refusals

		mu       sync.Mutex
		services atomic.Pointer[map[id.Service]*record]
	}
)

// Place counts a request as demand and returns its place. The draw is a uniform random
// number from 0 to 1.
func (o *Order) Place(req *Request, draw float64) Place {
	rec := o.record(req.Service)
	class := rec.class(req.Class)
	c := rec.cell(req.Organisation, class)
	c.arrived.Add(1)
	if req.Repeated {
		c.repeated.Add(1)
	}
	parts := rec.parts.Load()
	if parts == nil || class >= len(parts.classes) {
		return Place{At: draw, Draw: draw, Share: Within, cell: c}
	}
	p := parts.place(class, c.above(), req.Repeated, draw)
	p.cell = c
	return p
}

// Observe records whether the request of the place was refused.
func (p *Place) Observe(refused bool) {
	if p.cell == nil {
		return
	}
	if p.cell.decided.Add(1); refused {
		p.cell.refused.Add(1)
	}
}

// Step updates the averages of the demand and the parts of the order. It is to be called about
// ten times a second.
func (o *Order) Step(now time.Time) {
	all := o.services.Load()
	if all == nil {
		return
	}
	for _, rec := range *all {
		rec.step(now)
	}
}

// Clear forgets all demand.
func (o *Order) Clear() { o.services.Store(nil) }

// RetryLater returns by how much later the caller of a refused request should retry than that
// of the last one in the order: up to 1/12 of the time left.
func RetryLater(left time.Duration, place float64) time.Duration {
	return time.Duration(float64(left) * (1 - min(max(place, 0), 1)) / latestRetry)
}

// record returns the record of a service.
func (o *Order) record(svc id.Service) *record {
	if all := o.services.Load(); all != nil {
		if rec := (*all)[svc]; rec != nil {
			return rec
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make(map[id.Service]*record)
	if all := o.services.Load(); all != nil {
		if rec := (*all)[svc]; rec != nil {
			return rec
		}
		maps.Copy(next, *all)
	}
	rec := newRecord()
	next[svc] = rec
	o.services.Store(&next)
	return rec
}

// atomicFloat is a float64 that is read and written atomically.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }
