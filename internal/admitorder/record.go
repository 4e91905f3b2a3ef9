package admitorder

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// maxClasses limits the classes of a service. Requests of further classes count as
	// those of the least urgent one.
	maxClasses = 32
	// maxCells limits the organisations of a service, counted once for each class.
	// Further ones share cells.
	maxCells = 1 << 16
	// shards limits what a change of the cells copies.
	shards = 256
	// recentTime is the time constant of the recent demand: 86% of it are of the last
	// second.
	recentTime = 500 * time.Millisecond
	// usualTime is the time constant of the usual demand. An organisation that stays above
	// its share for a minute raises its usual demand by about a tenth of the excess.
	usualTime = 10 * time.Minute
	// settlingTime is the time after which the usual demand of an organisation is known.
	settlingTime = 5 * time.Second
	// idleDemand is the usual demand in requests a second below which the record of an
	// organisation without recent demand is removed.
	idleDemand = 1e-3
	// others is the cell of the organisations beyond maxCells. No organisation has this
	// name.
	others id.Organisation = "\x00"
)

type (
	// record is the demand for one service.
	record struct {
		parts atomic.Pointer[parts]
		known atomic.Pointer[[]Class]
		cells atomic.Int64

		shards [shards]shard

		mu sync.Mutex // protects the fields below, and additions to known
		// began is the time of the first step and at that of the latest one.
		began, at time.Time
		// outcomes counts the recent requests.
		outcomes struct{ decided, refused float64 }
		// demands is the demand by class, reused from step to step.
		demands []demand
	}

	// shard holds some of the cells. Its map is replaced by a copy when it changes.
	shard struct {
		mu    sync.Mutex // serialises changes
		cells atomic.Pointer[map[cellKey]*cell]
	}

	cellKey struct {
		organisation id.Organisation
		class        int
	}

	// cell is the demand of an organisation in a class.
	cell struct {
		arrived   atomic.Int64
		repeated  atomic.Int64
		decided   atomic.Int64
		refused   atomic.Int64
		aboveFrac atomicFloat
		// recent and usual are the rates of requests that aren't repeated, and repeats that
		// of repeated ones. Only steps use them.
		recent, repeats, usual float64
		// began is when the demand began.
		began time.Time
		// part is the fraction that is above the share by the demand in this class alone.
		part float64
	}
)

func newRecord() *record {
	r := &record{}
	r.known.Store(&[]Class{})
	for i := range r.shards {
		r.shards[i].cells.Store(&map[cellKey]*cell{})
	}
	return r
}

// above returns the fraction of the cell's requests that are above the share.
func (c *cell) above() float64 { return c.aboveFrac.load() }

// class returns the index of a class.
func (r *record) class(c Class) int {
	if i := slices.Index(*r.known.Load(), c); i >= 0 {
		return i
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := *r.known.Load()
	if i := slices.Index(known, c); i >= 0 {
		return i
	}
	if len(known) >= maxClasses {
		return leastUrgent(known)
	}
	known = append(slices.Clone(known), c)
	r.known.Store(&known)
	return len(known) - 1
}

// cell returns the cell of an organisation in a class.
func (r *record) cell(org id.Organisation, class int) *cell {
	key := cellKey{org, class}
	s := &r.shards[xxhash.Sum64String(string(org))%shards]
	if c := (*s.cells.Load())[key]; c != nil {
		return c
	}
	if r.cells.Load() >= maxCells && org != others {
		return r.cell(others, class)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := (*s.cells.Load())[key]; c != nil {
		return c
	}
	next := maps.Clone(*s.cells.Load())
	c := &cell{}
	next[key] = c
	s.cells.Store(&next)
	r.cells.Add(1)
	return c
}

// forget removes cells without demand. A request that still counts in such a cell isn't counted.
func (r *record) forget(s *shard, idle []cellKey) {
	if len(idle) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(*s.cells.Load())
	for _, key := range idle {
		delete(next, key)
	}
	s.cells.Store(&next)
	r.cells.Add(-int64(len(idle)))
}

// leastUrgent returns the index of the least urgent class.
func leastUrgent(all []Class) int {
	last := 0
	for i := range all {
		if all[i].compare(&all[last]) > 0 {
			last = i
		}
	}
	return last
}
