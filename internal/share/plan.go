package share

import (
	"math"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// GrantTime is how long an entry may hold a share above its floor, from
	// the time at which it sent the request.
	GrantTime = 10 * time.Second
	// grantMargin covers clock drift between the entry and the plan's owner.
	grantMargin = time.Second
	// maxDemandAge is the maximum age of a reported demand that is used.
	maxDemandAge = 15 * time.Second
	// floorPart is the fraction of the whole that is split evenly among the
	// configured entries and never reassigned.
	floorPart = 0.5
	// maxDemand is the maximum plausible demand of one entry.
	maxDemand = 1e12
)

type (
	// Holder identifies one process of an entry.
	Holder struct {
		// Instance is the instance name of the entry.
		Instance id.Instance `json:"instance"`
		// Incarnation distinguishes the processes of the instance.
		Incarnation id.Incarnation `json:"incarnation"`
	}

	// Request is an entry's request for its share.
	Request struct {
		// Holder is the process that sends the request.
		Holder Holder `json:"holder"`
		// Number increases with each request of the process. The entry accepts
		// only the grant for its latest request.
		Number uint64 `json:"number"`
		// Held is the share that is active at the entry, 0 to 1.
		Held float64 `json:"held"`
		// Demand is the rate that the entry recently needed but did not have,
		// in a unit that is the same for all entries.
		Demand float64 `json:"demand"`
	}

	// Grant answers a Request.
	Grant struct {
		// Number is the number of the request.
		Number uint64 `json:"number"`
		// Share is the entry's new share, 0 to 1. It returns to the floor
		// GrantTime after the request was sent.
		Share float64 `json:"share"`
	}

	// Plan divides one resource among the entries. There must be only one owner
	// at a time; a new owner creates a new Plan.
	Plan struct {
		floor   float64
		start   time.Time
		holders map[Holder]*holding
	}

	holding struct {
		number uint64
		bound  float64
		until  time.Time
		demand measured.Value[float64]
	}
)

// NewPlan returns a plan for the given number of configured entries. It raises no
// share before the grants of a previous plan have expired.
func NewPlan(entries int, now time.Time) *Plan {
	return &Plan{floor: Floor(entries), start: now, holders: make(map[Holder]*holding)}
}

// Floor returns the share that each of the given number of configured entries has
// without a grant. It belongs to the instance: a new process of the instance may
// use it only after the previous process has ended.
func Floor(entries int) float64 { return floorPart / float64(max(entries, 1)) }

// Answer returns the grant for a request. ok is false if the request is not newer
// than the last one of the same process, or if the share that it states as held
// is negative or not finite.
func (p *Plan) Answer(now time.Time, req Request) (grant Grant, ok bool) {
	p.expire(now)
	held := req.Held
	if !(held >= 0) || math.IsInf(float64(held), 0) {
		return Grant{}, false
	}
	h := p.holders[req.Holder]
	if h == nil {
		h = new(holding)
		p.holders[req.Holder] = h
	} else if req.Number <= h.number {
		return Grant{}, false
	}
	h.number, h.demand = req.Number, measured.At(validDemand(req.Demand), now)
	share := min(p.target(now, h), p.available(req.Holder))
	if now.Before(p.start.Add(GrantTime + grantMargin)) {
		share = min(share, held)
	}
	share = max(share, min(held, p.floor))
	h.bound, h.until = max(held, share), now.Add(GrantTime+grantMargin)
	return Grant{Number: req.Number, Share: share}, true
}

// Bound returns an upper bound for the sum of the shares that entries hold at now.
func (p *Plan) Bound(now time.Time) float64 {
	p.expire(now)
	return 1 - p.available(Holder{})
}

// target returns the floor plus the holder's part of the remainder, which is split
// by demand.
func (p *Plan) target(now time.Time, h *holding) float64 {
	mine, all := 0.0, 0.0
	for _, other := range p.holders {
		d, _ := other.demand.Read(now, maxDemandAge)
		all += d
		if other == h {
			mine = d
		}
	}
	if all == 0 {
		return p.floor
	}
	return p.floor + (1-floorPart)*mine/all
}

// available returns the share that is available to the given holder: its floor
// and the part of the remainder that no other holder may hold. For the zero
// Holder it returns only that part. Entries that never sent a request keep their
// floors.
func (p *Plan) available(holder Holder) float64 {
	remainder := 1 - floorPart
	for who, h := range p.holders {
		if who != holder {
			remainder -= max(h.bound-p.floor, 0)
		}
	}
	if holder == (Holder{}) {
		return max(remainder, 0)
	}
	return p.floor + max(remainder, 0)
}

func (p *Plan) expire(now time.Time) {
	for who, h := range p.holders {
		if now.After(h.until) {
			delete(p.holders, who)
		}
	}
}

func validDemand(r float64) float64 {
	if !(r > 0) || math.IsInf(float64(r), 0) || r > maxDemand {
		return 0
	}
	return r
}
