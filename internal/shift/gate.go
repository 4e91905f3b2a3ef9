package shift

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// buckets is the number of buckets in a window. Counts are kept by bucket,
	// and a bucket that a window cuts counts against the entry.
	buckets = 128
	ring    = 2*buckets + 2
	// stripes is the number of counters that a bucket's admissions are spread
	// over, so that threads don't share one.
	stripes = 16
	// closed marks a stripe that gives no more admissions.
	closed = math.MinInt64
	// cacheLine is the size in bytes of what two processors contend for.
	cacheLine = 64
)

type (
	// Gate holds one entry's share of the cap toward one region. It is safe
	// for concurrent use; an admission is one compare-and-swap on a counter that
	// few threads share, and a lock is taken once a bucket.
	Gate struct {
		window  time.Duration
		width   time.Duration
		epoch   time.Time
		current atomic.Pointer[bucket]
		hints   sync.Pool // of *hint, by processor

		mu     sync.Mutex
		floor  unit.Rate
		share  unit.Rate
		until  time.Time
		counts [ring]int64
		shares [ring]unit.Rate
	}

	// bucket is a part of the window, or of a bucket after the share changed.
	bucket struct {
		index   int64
		allow   int64
		earlier int64 // admitted in the same part of the window before
		empty   atomic.Bool
		stripes [stripes]stripe
	}

	stripe struct {
		left atomic.Int64
		_    [cacheLine - 8]byte
	}

	// hint is the stripe that a processor begins with.
	hint struct{ stripe uint32 }
)

// NewGate returns a gate that holds its floor, in requests a second. The floor
// was reserved for this entry, and used by no other process, since reserved.
// Windows that start before reserved have no share, so that a process that
// takes over a floor at now may admit nothing for the length of one window.
func NewGate(window time.Duration, floor unit.Rate, now, reserved time.Time) *Gate {
	g := &Gate{window: window, width: max(window/buckets, 1), floor: valid(floor)}
	g.epoch = now.Add(-ring * g.width)
	var next atomic.Uint32
	g.hints.New = func() any { return &hint{next.Add(1) % stripes} }
	k := g.index(now)
	for i := max(k-ring, g.index(reserved)) + 1; i <= k; i++ {
		g.shares[slot(i)] = g.floor
	}
	g.open(k, 0)
	return g
}

// Admit counts one request toward the region, or refuses it and tells after
// which time the gate may admit more.
func (g *Gate) Admit(now time.Time) (ok bool, retryAfter time.Duration) {
	h, _ := g.hints.Get().(*hint)
	defer g.hints.Put(h)
	for {
		b := g.at(now)
		ok, again := b.take(h.stripe)
		switch {
		case again:
			continue
		case ok:
			return true, 0
		default:
			return false, max(g.epoch.Add(time.Duration(b.index+1)*g.width).Sub(now), time.Millisecond)
		}
	}
}

// Grant puts a share in force until a time, in requests a second; a share that
// is below the floor or not finite counts as the floor. A pause of the process
// doesn't prolong it: what is admitted later is held against the floor.
func (g *Gate) Grant(now time.Time, share unit.Rate, until time.Time) {
	g.change(now, func() { g.share, g.until = valid(share), until })
}

// SetFloor changes the share that the entry has without a grant, in requests
// a second.
func (g *Gate) SetFloor(now time.Time, floor unit.Rate) {
	g.change(now, func() { g.floor = valid(floor) })
}

// Share returns the share in force at now in requests a second.
func (g *Gate) Share(now time.Time) unit.Rate {
	b := g.at(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shareOf(b.index)
}

func (g *Gate) change(now time.Time, apply func()) {
	g.at(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	apply()
	b := g.current.Load()
	i := slot(b.index)
	if share := g.shareOf(b.index); share < g.shares[i] {
		g.shares[i] = share
		g.open(b.index, b.close())
	}
}

// shareOf returns the share for windows that start in bucket k.
func (g *Gate) shareOf(k int64) unit.Rate {
	if end := g.epoch.Add(time.Duration(k+1) * g.width); end.After(g.until) {
		return g.floor
	}
	return max(g.share, g.floor)
}

// at returns the bucket of now. A time before the current bucket counts as in
// it.
func (g *Gate) at(now time.Time) *bucket {
	b := g.current.Load()
	if g.index(now) <= b.index {
		return b
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b = g.current.Load()
	k := g.index(now)
	if k <= b.index {
		return b
	}
	g.counts[slot(b.index)] = b.close()
	for i := max(b.index+1, k-ring+1); i <= k; i++ {
		g.counts[slot(i)], g.shares[slot(i)] = 0, g.shareOf(i)
	}
	return g.open(k, 0)
}

// open begins bucket k, of which some was admitted before.
func (g *Gate) open(k, earlier int64) *bucket {
	g.counts[slot(k)] = 0
	b := &bucket{index: k, earlier: earlier, allow: max(g.allowance(k)-earlier, 0)}
	for i := range b.stripes {
		n := b.allow / stripes
		if int64(i) < b.allow%stripes {
			n++
		}
		b.stripes[i].left.Store(n)
	}
	g.current.Store(b)
	return b
}

// take takes one admission, from the given stripe if it has one left. It must
// be tried again on the next bucket if this one is closed.
func (b *bucket) take(first uint32) (ok, again bool) {
	if b.empty.Load() {
		return false, false
	}
	for k := range uint32(stripes) {
		left := &b.stripes[(first+k)%stripes].left
		for n := left.Load(); n != 0; n = left.Load() {
			if n < 0 {
				return false, true
			}
			if left.CompareAndSwap(n, n-1) {
				return true, false
			}
		}
	}
	b.empty.Store(true)
	return false, false
}

// close ends the bucket and returns all that was admitted in its part of the
// window.
func (b *bucket) close() int64 {
	used := b.earlier + b.allow
	for i := range b.stripes {
		used -= b.stripes[i].left.Swap(closed)
	}
	return used
}

// allowance returns how many admissions bucket k may take: the smallest room
// over all windows that start in one of the last buckets and reach into k.
func (g *Gate) allowance(k int64) int64 {
	var since, before int64
	for j := k - buckets + 1; j < k; j++ {
		before += g.counts[slot(j)]
	}
	least := int64(math.MaxInt64)
	for j := k; j >= k-buckets; j-- {
		rise := int64(float64(g.shares[slot(j)]) * g.window.Seconds())
		least = min(least, before+rise-since)
		since += g.counts[slot(j-1)]
		before += g.counts[slot(j-buckets)] - g.counts[slot(j-1)]
	}
	return max(least, 0)
}

func (g *Gate) index(t time.Time) int64 { return int64(t.Sub(g.epoch) / g.width) }

func slot(i int64) int64 { return ((i % ring) + ring) % ring }

func valid(r unit.Rate) unit.Rate {
	if !(r > 0) || math.IsInf(float64(r), 0) {
		return 0
	}
	return r
}
