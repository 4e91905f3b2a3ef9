package retry

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// Window is the time over which first sends and resends are counted.
	Window = 10 * time.Second
	// Least is the number of resends in a window that any share above 0
	// allows, so that a service with few requests has resends at all.
	Least = 5
	// leastTime is the least time that must remain for a resend when nothing
	// is known of how long answers take.
	leastTime = 100 * time.Millisecond
	// latencyAge is the greatest age of a latency that is used.
	latencyAge = time.Minute

	buckets = 10
	width   = Window / buckets
)

type (
	// Try is a request whose last send failed.
	Try struct {
		// Kind is the kind of the request's class.
		Kind service.Kind
		// Code is what the last send ended with.
		Code result.Code
		// Sends is how often it was sent.
		Sends int
		// Attempts is the greatest number of sends.
		Attempts int
		// Deadline is when the request must have ended.
		Deadline time.Time
		// Latency is how long answers of the class usually take.
		Latency measured.Value[time.Duration]
	}

	// Budget counts the sends of one service at one entry. The zero Budget
	// is empty and ready for use. It is safe for concurrent use.
	Budget struct {
		mu     sync.Mutex
		bucket int64
		first  [buckets]int64
		again  [buckets]int64
	}
)

// Allowed tells whether the request may be sent again, as far as it alone is
// concerned. A latency that is missing, stale, from the future, negative or
// longer than any deadline counts as unknown, and then a least time must
// remain.
func Allowed(t *Try, now time.Time) bool {
	if t.Sends >= t.Attempts || t.Sends < 1 {
		return false
	}
	if ran := t.Code.Ran(); ran != result.No && (ran == result.Yes || !t.Kind.Safe()) {
		return false
	}
	if final(t.Code) {
		return false
	}
	needed, state := t.Latency.Read(now, latencyAge)
	if state != measured.Fresh || needed < 0 || needed > service.MaxDeadline {
		needed = leastTime
	}
	return t.Deadline.Sub(now) > max(needed, time.Millisecond)
}

// First counts a first send.
func (b *Budget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first[b.at(now)]++
}

// Take counts a resend if the resends of the window then are at most a share,
// 0 to 1, of its first sends, or at most Least. A share of 0 or out of that
// range allows none.
func (b *Budget) Take(now time.Time, share float64) bool {
	if !(share > 0 && share <= 1) {
		return false
	}
	return b.take(now, func(first float64) float64 { return max(share*first, Least) })
}

// TakeWithin counts a resend if the resends of the window then are at most a
// share of its first sends and an allowance on top.
func (b *Budget) TakeWithin(now time.Time, share, allowance float64) bool {
	return b.take(now, func(first float64) float64 { return share*first + allowance })
}

func (b *Budget) take(now time.Time, allowed func(first float64) float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.at(now)
	var first, again int64
	for k := range buckets {
		first += b.first[k]
		again += b.again[k]
	}
	if float64(again+1) > allowed(float64(first)) {
		return false
	}
	b.again[i]++
	return true
}

// at returns the place of now's bucket and empties those that ended before the
// window. An earlier time than the last one counts as the last one.
func (b *Budget) at(now time.Time) int64 {
	k := now.UnixNano() / int64(width)
	if b.bucket == 0 {
		b.bucket = k
	}
	for i := max(b.bucket+1, k-buckets+1); i <= k; i++ {
		b.first[place(i)], b.again[place(i)] = 0, 0
	}
	b.bucket = max(b.bucket, k)
	return place(b.bucket)
}

func place(i int64) int64 { return ((i % buckets) + buckets) % buckets }

// final tells whether a code says that a resend would meet the same.
func final(c result.Code) bool {
	switch c {
	case result.ConnectFailed, result.ShedByServer, result.AnswerCut, result.ConnectionSilent:
		return false
	default:
		return true
	}
}
