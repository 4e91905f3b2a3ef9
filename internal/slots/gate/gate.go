package gate

import (
	"math"
	"sync/atomic"
	"time"
)

// Forever is the end of a Gate whose slots do not expire.
const Forever time.Duration = math.MaxInt64

const (
	usedBits = 32
	usedMask = 1<<usedBits - 1
	oneLimit = 1 << usedBits

	// cacheLine is the size of a Gate, so that adjacent Gates in a slice do not
	// share a cache line.
	cacheLine = 64
)

// Gate counts the granted and the used slots of one backend server. The zero
// Gate has none. It is safe for concurrent use.
type Gate struct {
	state  atomic.Uint64
	end    atomic.Int64
	closed atomic.Bool
	_      [cacheLine - 24]byte
}

// Acquire takes a slot if one is free, the gate is open and now is before its
// end.
func (g *Gate) Acquire(now time.Duration) bool {
	if int64(now) >= g.end.Load() || g.closed.Load() {
		return false
	}
	for {
		old := g.state.Load()
		if old&usedMask >= old>>usedBits {
			return false
		}
		if g.state.CompareAndSwap(old, old+1) {
			return true
		}
	}
}

// Release releases a slot that Acquire took.
func (g *Gate) Release() { g.state.Add(^uint64(0)) }

// Raise adds n slots to the limit.
func (g *Gate) Raise(n int) { g.state.Add(uint64(n) * oneLimit) }

// Lower reduces the limit by up to n idle slots and returns by how many. The limit
// stays at or above the number of slots in use.
func (g *Gate) Lower(n int) int {
	for {
		old := g.state.Load()
		idle := int(old>>usedBits) - int(old&usedMask)
		take := min(n, idle)
		if take <= 0 {
			return 0
		}
		if g.state.CompareAndSwap(old, old-uint64(take)*oneLimit) {
			return take
		}
	}
}

// Cut reduces the limit by n slots. The limit may fall below the number of slots
// in use, but not below 0.
func (g *Gate) Cut(n int) {
	for {
		old := g.state.Load()
		cut := min(uint64(max(n, 0)), old>>usedBits)
		if g.state.CompareAndSwap(old, old-cut*oneLimit) {
			return
		}
	}
}

// SetLimit sets the limit, which may be below the number of slots in use.
func (g *Gate) SetLimit(limit int) {
	for {
		old := g.state.Load()
		if g.state.CompareAndSwap(old, uint64(limit)<<usedBits|old&usedMask) {
			return
		}
	}
}

// Load returns the limit and the number of slots in use.
func (g *Gate) Load() (limit, used int) {
	s := g.state.Load()
	return int(s >> usedBits), int(s & usedMask)
}

// SetEnd sets the time from which no slot can be acquired.
func (g *Gate) SetEnd(end time.Duration) { g.end.Store(int64(end)) }

// End returns the time from which no slot can be acquired.
func (g *Gate) End() time.Duration { return time.Duration(g.end.Load()) }

// SetClosed closes or reopens the gate; no slot can be acquired while it is
// closed.
func (g *Gate) SetClosed(closed bool) { g.closed.Store(closed) }
