package shift

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// buckets is the number of buckets in a window. Admissions are counted per
	// bucket, and a bucket that lies partly in a window is counted to the
	// disadvantage of the entry.
	buckets = 128
	ring    = 2*buckets + 2
	// stripes is the number of counters over which the admissions of a bucket
	// are spread, to avoid contention between threads.
	stripes = 16
	// closed marks a stripe of a bucket that has ended.
	closed = math.MinInt64
	// cacheLine is the size of a cache line in bytes.
	cacheLine = 64
)

type (
	// Gate enforces one entry's share of the cap toward one region. It is safe
	// for concurrent use. An admission is one compare-and-swap on a counter
	// shared by few threads; a lock is taken once per bucket.
	Gate struct {
		window       time.Duration
		width        time.Duration
		epoch        time.Time
		current      atomic.Pointer[bucket]
		startStripes sync.Pool // of *startStripe, cached per processor

		mu     sync.Mutex
		floor  unit.Rate
		share  unit.Rate
		until  time.Time
		counts [ring]int64
		shares [ring]unit.Rate
	}

	// bucket is one part of the window, or the rest of one after the share has
	// been lowered.
	bucket struct {
		index     int64
		allow     int64
		earlier   int64 // admitted in the same part of the window before the share was lowered
		exhausted atomic.Bool
		stripes   [stripes]stripe
	}

	stripe struct {
		left atomic.Int64
		_    [cacheLine - 8]byte
	}

	// startStripe is the stripe that a processor tries first.
	startStripe struct{ stripe uint32 }
)

// NewGate returns a gate with a floor in requests per second. The floor has been
// reserved for this entry, and used by no other process, since reserved. Windows
// that start before reserved have a share of 0, so that a process that takes over
// a floor at now admits no requests for the length of one window.
func NewGate(window time.Duration, floor unit.Rate, now, reserved time.Time) *Gate {
	g := &Gate{window: window, width: max(window/buckets, 1), floor: validRate(floor)}
	g.epoch = now.Add(-ring * g.width)
	var next atomic.Uint32
	g.startStripes.New = func() any { return &startStripe{next.Add(1) % stripes} }
	k := g.index(now)
	for i := max(k-ring, g.index(reserved)) + 1; i <= k; i++ {
		g.shares[slot(i)] = g.floor
	}
	g.open(k, 0)
	return g
}

// Admit counts one request toward the region, or refuses it and returns the time
// after which the gate may admit more.
func (g *Gate) Admit(now time.Time) (ok bool, retryAfter time.Duration) {
	first, _ := g.startStripes.Get().(*startStripe)
	defer g.startStripes.Put(first)
	for {
		b := g.at(now)
		ok, again := b.tryAdmit(first.stripe)
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

// Grant activates a share in requests per second until the given time. A share
// that is below the floor or not finite counts as the floor. A pause of the
// process doesn't extend the grant: later admissions are limited by the floor.
func (g *Gate) Grant(now time.Time, share unit.Rate, until time.Time) {
	g.change(now, func() { g.share, g.until = validRate(share), until })
}

// SetFloor changes the share that the entry has without a grant, in requests per
// second.
func (g *Gate) SetFloor(now time.Time, floor unit.Rate) {
	g.change(now, func() { g.floor = validRate(floor) })
}

// Share returns the share that is active at now, in requests per second.
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

// at returns the bucket of now. A time before the current bucket is treated as
// part of it.
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

// open starts bucket k, in which earlier requests have already been admitted.
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

// tryAdmit admits one request, preferably from the given stripe. If again is set,
// the bucket has ended and the caller must retry with the current one.
func (b *bucket) tryAdmit(first uint32) (ok, again bool) {
	if b.exhausted.Load() {
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
	b.exhausted.Store(true)
	return false, false
}

// close ends the bucket and returns the number of requests admitted in its part
// of the window.
func (b *bucket) close() int64 {
	used := b.earlier + b.allow
	for i := range b.stripes {
		used -= b.stripes[i].left.Swap(closed)
	}
	return used
}

// allowance returns the number of requests that may be admitted in bucket k: the
// minimum over all windows that start in one of the preceding buckets and
// include k.
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

func validRate(r unit.Rate) unit.Rate {
	if !(r > 0) || math.IsInf(float64(r), 0) {
		return 0
	}
	return r
}
