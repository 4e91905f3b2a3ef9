package share

import (
	"math"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// GrantTime is how long an entry may hold a share above its floor, counted
	// from the time at which it sent the ask.
	GrantTime = 10 * time.Second
	// grantMargin covers clocks that run at different speeds.
	grantMargin = time.Second
	// demandAge is the greatest age of a stated demand that is counted.
	demandAge = 15 * time.Second
	// floorPart is the part of the whole that is split evenly among the
	// configured entries and never moved.
	floorPart = 0.5
	// maxDemand bounds what one entry may claim.
	maxDemand = 1e12
)

type (
	// Holder is one process of an entry.
	Holder struct {
		// Instance names the entry.
		Instance id.Instance `json:"instance"`
		// Incarnation tells its processes apart.
		Incarnation id.Incarnation `json:"incarnation"`
	}

	// Ask is what an entry sends to get its share.
	Ask struct {
		// Holder is the entry's process.
		Holder Holder `json:"holder"`
		// Number rises with each ask of the process. The entry accepts only
		// the answer to its latest ask.
		Number uint64 `json:"number"`
		// Held is the share in force at the entry, 0 to 1.
		Held float64 `json:"held"`
		// Demand is what the entry lately lacked: a rate, in a unit that is
		// the same for all entries.
		Demand float64 `json:"demand"`
	}

	// Grant answers an Ask.
	Grant struct {
		// Number is the ask's.
		Number uint64 `json:"number"`
		// Share is the entry's new share, 0 to 1. It falls back to the floor
		// GrantTime after the ask was sent.
		Share float64 `json:"share"`
	}

	// Plan divides one whole among the entries. Its owner must be the only
	// one; a new owner makes a new Plan.
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

// NewPlan returns a plan among a number of configured entries. It raises no
// share before the grants of an earlier plan have run out.
func NewPlan(entries int, now time.Time) *Plan {
	return &Plan{floor: Floor(entries), start: now, holders: make(map[Holder]*holding)}
}

// Floor returns the share that each of a number of configured entries has
// without being granted any. It is the instance's: a new process on it may
// hold it only when the earlier process has ended.
func Floor(entries int) float64 { return floorPart / float64(max(entries, 1)) }

// Answer returns the share for an entry; ok is false for an ask that came
// after a later one of the same process, or that states an impossible share.
func (p *Plan) Answer(now time.Time, ask Ask) (grant Grant, ok bool) {
	p.expire(now)
	held := ask.Held
	if !(held >= 0) || math.IsInf(float64(held), 0) {
		return Grant{}, false
	}
	h := p.holders[ask.Holder]
	if h == nil {
		h = new(holding)
		p.holders[ask.Holder] = h
	} else if ask.Number <= h.number {
		return Grant{}, false
	}
	h.number, h.demand = ask.Number, measured.At(demand(ask.Demand), now)
	share := min(p.target(now, h), p.room(ask.Holder))
	if now.Before(p.start.Add(GrantTime + grantMargin)) {
		share = min(share, held)
	}
	share = max(share, min(held, p.floor))
	h.bound, h.until = max(held, share), now.Add(GrantTime+grantMargin)
	return Grant{Number: ask.Number, Share: share}, true
}

// Bound returns the greatest sum of shares that entries may hold at now.
func (p *Plan) Bound(now time.Time) float64 {
	p.expire(now)
	return 1 - p.room(Holder{})
}

// target returns the holder's floor and its part of what is moved by demand.
func (p *Plan) target(now time.Time, h *holding) float64 {
	mine, all := 0.0, 0.0
	for _, other := range p.holders {
		d, _ := other.demand.Read(now, demandAge)
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

// room returns what no other holder may hold. Floors of entries that never
// asked are theirs.
func (p *Plan) room(except Holder) float64 {
	moved := 1 - floorPart
	for who, h := range p.holders {
		if who != except {
			moved -= max(h.bound-p.floor, 0)
		}
	}
	if except == (Holder{}) {
		return max(moved, 0)
	}
	return p.floor + max(moved, 0)
}

func (p *Plan) expire(now time.Time) {
	for who, h := range p.holders {
		if now.After(h.until) {
			delete(p.holders, who)
		}
	}
}

func demand(r float64) float64 {
	if !(r > 0) || math.IsInf(float64(r), 0) || r > maxDemand {
		return 0
	}
	return r
}
