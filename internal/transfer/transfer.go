package transfer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// recent is the time after a byte in which an answer counts as arriving. It covers a
	// retransmission.
	recent = 300 * time.Millisecond
	// maxRead limits a read in bytes. Some readers, such as those of chunked bodies, return
	// only once they have filled the buffer.
	maxRead = 4 << 10
	// heldUp is the delay of the timer from which the process counts as held up: bytes that
	// have arrived meanwhile haven't been read, and get as long to be read.
	heldUp = 50 * time.Millisecond
)

type (
	// Limits are the limits of a call.
	Limits struct {
		// First limits the time to the first byte of the answer.
		First time.Duration
		// Stall limits the time between two reads of the answer that return bytes.
		Stall time.Duration
		// Total limits the time from the first byte to the end of the answer.
		Total time.Duration
	}

	// Transfer is a call and its answer. It is safe for concurrent use. A nil Transfer
	// receives nothing.
	Transfer struct {
		limits Limits
		cancel context.CancelCauseFunc

		mu     sync.Mutex
		timer  *time.Timer
		due    time.Time // of timer
		began  time.Time
		first  time.Time // time of the first byte, zero before it
		latest time.Time // time of the latest byte
		bytes  int64
		ended  bool
		// expired is whether a limit was exceeded.
		expired bool
	}

	reader struct {
		*Transfer
		from io.Reader
	}
)

// Begin returns a context that ends when a limit is exceeded, and the transfer, whose End must
// be called.
func Begin(ctx context.Context, limits Limits) (context.Context, *Transfer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Transfer{limits: limits, cancel: cancel, began: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = t.began.Add(limits.First)
	t.timer = time.AfterFunc(limits.First, t.expire)
	return ctx, t
}

// Reader returns a reader of the answer's body.
func (t *Transfer) Reader(body io.Reader) io.Reader { return &reader{t, body} }

// End ends the transfer.
func (t *Transfer) End() {
	t.mu.Lock()
	t.ended = true
	t.timer.Stop()
	t.mu.Unlock()
	t.cancel(nil)
}

// Receiving reports whether the answer has begun, hasn't ended, and a byte of it has arrived
// lately.
func (t *Transfer) Receiving() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && !t.first.IsZero() && time.Since(t.latest) < recent
}

// Bytes returns the number of bytes received so far.
func (t *Transfer) Bytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}

// Explain adds to an error of the call how much of the answer had arrived. The error is
// context.DeadlineExceeded if a limit was exceeded. It returns nil for nil.
func (t *Transfer) Explain(err error) error {
	if err == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expired {
		err = context.DeadlineExceeded
	}
	if t.first.IsZero() {
		return eris.Wrapf(err, "no answer after %v", time.Since(t.began).Round(time.Millisecond))
	}
	return eris.Wrapf(err, "%d bytes in %v, none for %v", t.bytes,
		time.Since(t.first).Round(time.Millisecond), time.Since(t.latest).Round(time.Millisecond))
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p[:min(len(p), maxRead)])
	if n > 0 {
		r.advance(n)
	}
	return n, err
}

// advance records bytes of the answer.
func (t *Transfer) advance(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.first.IsZero() {
		t.first = now
	}
	t.latest, t.bytes = now, t.bytes+int64(n)
	if !t.ended {
		t.reset(now, max(min(t.limits.Stall, t.limits.Total-now.Sub(t.first)), 0))
	}
}

// reset sets the timer. The caller must hold mu.
func (t *Transfer) reset(now time.Time, d time.Duration) {
	t.due = now.Add(d)
	t.timer.Reset(d)
}

// expire ends the context, unless the process was held up.
func (t *Transfer) expire() {
	t.mu.Lock()
	if now := time.Now(); !t.ended && now.Sub(t.due) >= heldUp {
		t.reset(now, heldUp)
		t.mu.Unlock()
		return
	}
	t.expired = !t.ended
	t.mu.Unlock()
	t.cancel(context.DeadlineExceeded)
}
