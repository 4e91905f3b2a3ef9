package retry

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// Window is the time over which first sends and retries are counted.
	Window = 10 * time.Second
	// MinRetries is the number of retries in a window that any share above 0 allows,
	// so that a service with few requests can retry at all.
	MinRetries = 5
	// minRemaining is the minimum time to the deadline for a retry while the usual
	// latency is unknown.
	minRemaining = 100 * time.Millisecond
	// maxLatencyAge is the maximum age of a latency that is taken into account.
	maxLatencyAge = time.Minute

	buckets = 10
	width   = Window / buckets
)

type (
	// Try is a request whose last send failed.
	Try struct {
		// Kind is the kind of the request's class.
		Kind service.Kind
		// Code is the result of the last send.
		Code result.Code
		// Sends is the number of times that it was sent.
		Sends int
		// Attempts is the maximum number of sends.
		Attempts int
		// Deadline is the time by which the request must have ended.
		Deadline time.Time
		// Latency is the usual latency of the class.
		Latency measured.Value[time.Duration]
	}

	// Budget is the retry budget of one service at one entry. The zero Budget is
	// empty and ready for use. It is safe for concurrent use.
	Budget struct {
		mu      sync.Mutex
		bucket  int64
		first   [buckets]int64
		retries [buckets]int64
	}
)

// Allowed reports whether the request itself permits a retry; the budget is checked
// separately. A latency that is missing, stale, from the future, negative or longer
// than any deadline counts as unknown, and then a minimum time must remain.
func Allowed(t *Try, now time.Time) bool {
	if t.Sends >= t.Attempts || t.Sends < 1 {
		return false
	}
	if ran := t.Code.Ran(); ran != result.No && (ran == result.Yes || !t.Kind.Safe()) {
		return false
	}
	if permanent(t.Code) {
		return false
	}
	needed, state := t.Latency.Read(now, maxLatencyAge)
	if state != measured.Fresh || needed < 0 || needed > service.MaxDeadline {
		needed = minRemaining
	}
	return t.Deadline.Sub(now) > max(needed, time.Millisecond)
}

// CountFirst counts a first send.
func (b *Budget) CountFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first[b.advance(now)]++
}

// Take counts a retry and returns true, if the retries of the window then are at most
// a share, 0 to 1, of its first sends, or at most MinRetries. A share of 0 or out of
// that range allows none.
func (b *Budget) Take(now time.Time, share float64) bool {
	if !(share > 0 && share <= 1) {
		return false
	}
	return b.take(now, func(first float64) float64 { return max(share*first, MinRetries) })
}

// TakeWithin counts a retry and returns true, if the retries of the window then are
// at most a share of its first sends plus an allowance.
func (b *Budget) TakeWithin(now time.Time, share, allowance float64) bool {
	return b.take(now, func(first float64) float64 { return share*first + allowance })
}

func (b *Budget) take(now time.Time, allowed func(first float64) float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	var first, retries int64
	for k := range buckets {
		first += b.first[k]
		retries += b.retries[k]
	}
	if float64(retries+1) > allowed(float64(first)) {
		return false
	}
	b.retries[i]++
	return true
}

// advance returns the index of the bucket for now and clears the buckets that have
// left the window. A time before that of the last call is treated as that of the last
// call.
func (b *Budget) advance(now time.Time) int64 {
	k := now.UnixNano() / int64(width)
	if b.bucket == 0 {
		b.bucket = k
	}
	for i := max(b.bucket+1, k-buckets+1); i <= k; i++ {
		b.first[bucketIndex(i)], b.retries[bucketIndex(i)] = 0, 0
	}
	b.bucket = max(b.bucket, k)
	return bucketIndex(b.bucket)
}

func bucketIndex(i int64) int64 { return ((i % buckets) + buckets) % buckets }

// permanent reports whether a retry would end with the same code.
func permanent(c result.Code) bool {
	switch c {
	case result.ConnectFailed, result.ShedByServer, result.AnswerCut, result.ConnectionSilent:
		return false
	default:
		return true
	}
}
