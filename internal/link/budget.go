package link

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// maxChunk is the most that a body sends at once.
	maxChunk = 16 * unit.KiB
	// chunksPerSecond bounds the chunk on a slow link.
	chunksPerSecond = 200
	// reserve is the part of the rate that is kept for small requests.
	reserve = 0.03
	// late is how much of a body's time may be made up for when Next is
	// called late.
	late = 5 * time.Millisecond
	// ahead is how far small requests may use up the bodies' time.
	ahead = 20 * time.Millisecond
	// early is by how much more than its rate a clock may give in a second.
	early = 1 + float64(late+ahead)/float64(time.Second)
	// leastWait bounds the answers of Admit and Next from below.
	leastWait = time.Millisecond
	retryWait = time.Second
)

type (
	// Budget is what one entry may send toward one region. The zero Budget
	// has a rate of 0. It is safe for concurrent use.
	Budget struct {
		mu     sync.Mutex
		rate   float64 // all bytes, a second
		bodies time.Time
		small  time.Time
		needed float64
	}

	// Body is an admitted body. It must be closed once.
	Body struct {
		budget *Budget
		needed float64
	}
)

// SetRate sets the rate as a share, 0 to 1, of what all entries may send a
// second. A share that is not in that range counts as 0, a rate below 0 too.
func (b *Budget) SetRate(all unit.Bytes, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = 0
	if share >= 0 && share <= 1 && all > 0 {
		b.rate = float64(all) * share
	}
}

// Admit admits a body of a size that must be sent within a time, or returns
// nil and when to come back. A body without an announced size must be given
// as the largest that is taken.
func (b *Budget) Admit(size unit.Bytes, within time.Duration) (body *Body, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size < 0 || within <= 0 {
		return nil, retryWait
	}
	needed := float64(size) / within.Seconds()
	if b.needed+needed > b.bodyRate() {
		return nil, retryWait
	}
	b.needed += needed
	return &Body{budget: b, needed: needed}, 0
}

// Pass counts a small request or answer, which is sent at once. It is false if
// small ones alone use up the rate; then nothing may be sent. What is larger than
// Small must be admitted as a body.
func (b *Budget) Pass(now time.Time, size unit.Bytes) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.take(&b.small, now, size, b.rate*reserve/early, ahead) {
		return true
	}
	return b.take(&b.bodies, now, size, b.bodyRate(), ahead)
}

// Small returns the largest size that Pass lets through when nothing else is
// sent. What is larger must be admitted as a body.
func (b *Budget) Small() unit.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return unit.Bytes(b.bodyRate() * (ahead - time.Second/chunksPerSecond).Seconds())
}

// Next returns how many of the wanted bytes of the body may be sent now. If
// none, wait tells when to ask again.
func (b *Body) Next(now time.Time, want int) (n int, wait time.Duration) {
	return b.budget.next(now, want)
}

// Close gives the body's part of the budget back. Later calls do nothing.
func (b *Body) Close() {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.budget.needed -= b.needed
	b.needed = 0
}

func (b *Budget) next(now time.Time, want int) (n int, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := b.bodyRate()
	if rate <= 0 || want <= 0 {
		return 0, retryWait
	}
	size := min(unit.Bytes(want), b.chunk())
	if now.Before(b.bodies) {
		return 0, max(b.bodies.Sub(now), leastWait)
	}
	b.take(&b.bodies, now, size, rate, 0)
	return int(size), 0
}

// take moves a clock on by the time that size needs at a rate, if the clock is
// at most lead past now. A clock that lags is set to late before now.
func (b *Budget) take(clock *time.Time, now time.Time, size unit.Bytes, rate float64, lead time.Duration) bool {
	if rate <= 0 {
		return false
	}
	from := *clock
	if earliest := now.Add(-late); from.Before(earliest) {
		from = earliest
	}
	cost := time.Duration(float64(size) / rate * float64(time.Second))
	if lead > 0 && from.Add(cost).After(now.Add(lead)) {
		return false
	}
	*clock = from.Add(cost)
	return true
}

// bodyRate is the rate of the bodies' clock, such that what may be sent early
// keeps to the whole rate in any second.
func (b *Budget) bodyRate() float64 {
	rate := b.rate*(1-reserve) - 2*float64(b.chunk())
	return max(rate/early, 0)
}

func (b *Budget) chunk() unit.Bytes {
	return max(min(maxChunk, unit.Bytes(b.rate/chunksPerSecond)), 1)
}
