package link

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// maxChunk is the maximum number of bytes that a body sends at once.
	maxChunk = 16 * unit.KiB
	// chunksPerSecond limits the chunk size on slow links.
	chunksPerSecond = 200
	// reserve is the share of the rate that is reserved for small requests.
	reserve = 0.03
	// maxCatchUp is the maximum time for which a body may catch up if Next is
	// called late.
	maxCatchUp = 5 * time.Millisecond
	// maxLead is how far ahead of the present small requests may advance a
	// clock.
	maxLead = 20 * time.Millisecond
	// burstFactor is the factor by which the bytes admitted by a clock in one
	// second may exceed its rate.
	burstFactor = 1 + float64(maxCatchUp+maxLead)/float64(time.Second)
	// minWait is the minimum wait that Next returns.
	minWait   = time.Millisecond
	retryWait = time.Second
)

type (
	// Budget is the budget of one entry toward one region. The zero Budget
	// has a rate of 0. A Budget is safe for concurrent use.
	Budget struct {
		mu          sync.Mutex
		rate        float64   // all traffic, in bytes per second
		bodiesClock time.Time // virtual time up to which bodies have been sent
		smallClock  time.Time // the same for the reserve
		reserved    float64   // rate required by admitted bodies
	}

	// Body is an admitted request body. It must be closed.
	Body struct {
		budget   *Budget
		reserved float64
	}
)

// SetRate sets the rate to a share, 0 to 1, of the bytes that all entries together
// may send per second. A share outside that range or a negative rate sets the
// rate to 0.
func (b *Budget) SetRate(all unit.Bytes, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = 0
	if share >= 0 && share <= 1 && all > 0 {
		b.rate = float64(all) * share
	}
}

// Admit admits a body of the given size that must be sent within a time, or
// returns nil and the time after which to retry. For a body without a declared
// size, the caller must pass the largest size that it accepts.
func (b *Budget) Admit(size unit.Bytes, within time.Duration) (body *Body, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size < 0 || within <= 0 {
		return nil, retryWait
	}
	required := float64(size) / within.Seconds()
	if b.reserved+required > b.bodyRate() {
		return nil, retryWait
	}
	b.reserved += required
	return &Body{budget: b, reserved: required}, 0
}

// AdmitSmall charges a small request or response, which may be sent immediately.
// It returns false if small ones alone exhaust the rate; then it must not be
// sent. Anything larger than MaxSmall must be admitted as a body.
func (b *Budget) AdmitSmall(now time.Time, size unit.Bytes) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.advance(&b.smallClock, now, size, b.rate*reserve/burstFactor, maxLead) {
		return true
	}
	return b.advance(&b.bodiesClock, now, size, b.bodyRate(), maxLead)
}

// MaxSmall returns the largest size that AdmitSmall admits while nothing else is
// sent. Anything larger must be admitted as a body.
func (b *Budget) MaxSmall() unit.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return unit.Bytes(b.bodyRate() * (maxLead - time.Second/chunksPerSecond).Seconds())
}

// Next returns how many of the wanted bytes of the body may be sent now. If n is
// 0, it must be called again after wait.
func (b *Body) Next(now time.Time, want int) (n int, wait time.Duration) {
	return b.budget.next(now, want)
}

// Close returns the body's reservation to the budget. Only the first call has an
// effect.
func (b *Body) Close() {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.budget.reserved -= b.reserved
	b.reserved = 0
}

func (b *Budget) next(now time.Time, want int) (n int, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := b.bodyRate()
	if rate <= 0 || want <= 0 {
		return 0, retryWait
	}
	size := min(unit.Bytes(want), b.chunk())
	if now.Before(b.bodiesClock) {
		return 0, max(b.bodiesClock.Sub(now), minWait)
	}
	b.advance(&b.bodiesClock, now, size, rate, 0)
	return int(size), 0
}

// advance advances a clock by the time that size takes at a rate. If lead is
// positive and the clock would be more than lead ahead of now, it returns false
// and leaves the clock unchanged. A clock that is more than maxCatchUp behind now
// is first set to that time.
func (b *Budget) advance(clock *time.Time, now time.Time, size unit.Bytes, rate float64, lead time.Duration) bool {
	if rate <= 0 {
		return false
	}
	from := *clock
	if earliest := now.Add(-maxCatchUp); from.Before(earliest) {
		from = earliest
	}
	cost := time.Duration(float64(size) / rate * float64(time.Second))
	if lead > 0 && from.Add(cost).After(now.Add(lead)) {
		return false
	}
	*clock = from.Add(cost)
	return true
}

// bodyRate returns the rate of the bodies' clock. It is reduced so that bytes sent
// ahead of the clock don't exceed the whole rate in any second.
func (b *Budget) bodyRate() float64 {
	rate := b.rate*(1-reserve) - 2*float64(b.chunk())
	return max(rate/burstFactor, 0)
}

func (b *Budget) chunk() unit.Bytes {
	return max(min(maxChunk, unit.Bytes(b.rate/chunksPerSecond)), 1)
}
