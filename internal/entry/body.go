package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
)

const (
	// paceSize is the greatest number of bytes that wait for their permit.
	paceSize = 16 << 10
	minPause = time.Millisecond
)

var errOverLimit = errors.New("body is over the class's limit")

// callerBody reads a caller's body up to the class's limit, and gives up on a
// caller that has sent nothing for too long.
type callerBody struct {
	src     io.ReadCloser
	req     *http.Request
	control *http.ResponseController
	left    int64
	silence time.Duration
	over    atomic.Bool
	closed  atomic.Bool
	read    atomic.Int64
}

// pacedBody passes a body on at the rate of its permit.
type pacedBody struct {
	io.ReadCloser
	ctx    context.Context
	permit admission.Paced
}

// Read reads from the body, and returns when all that it read may be sent.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), paceSize)])
	for left := n; left > 0; {
		granted, wait := b.permit.Next(time.Now(), left)
		left -= granted
		if left <= 0 {
			break
		}
		select {
		case <-time.After(max(wait, minPause)):
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	return n, err
}

func newCallerBody(c *call) *callerBody {
	return &callerBody{src: c.r.Body, req: c.r, control: http.NewResponseController(c.w), left: int64(c.class.BodyLimit), silence: c.h.callerSilence()}
}

func (h *Handler) callerSilence() time.Duration {
	if h.CallerSilence == 0 {
		return callerSilent
	}
	return h.CallerSilence
}

// Read reads from the caller.
func (b *callerBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	_ = b.control.SetReadDeadline(time.Now().Add(b.silence))
	n, err := b.src.Read(p)
	b.read.Add(int64(n))
	if b.left -= int64(n); b.left < 0 {
		b.over.Store(true)
		return 0, errOverLimit
	}
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, io.EOF) {
		dropInternal(b.req.Trailer)
	}
	return n, err
}

// Close leaves the body open, for the server to close.
func (b *callerBody) Close() error { return nil }

// total returns the number of bytes read.
func (b *callerBody) total() int64 {
	if b == nil {
		return 0
	}
	return b.read.Load()
}

// end keeps the connection's next request from being disturbed.
func (b *callerBody) end() {
	if b != nil {
		b.closed.Store(true)
	}
}

// untouched tells whether no byte was read.
func (b *callerBody) untouched() bool { return b.read.Load() == 0 }

// trailer returns the trailer, which the server fills once the body has ended.
func (b *callerBody) trailer() http.Header {
	dropInternal(b.req.Trailer)
	return b.req.Trailer
}

func dropInternal(h http.Header) {
	for k := range h {
		if isInternal(k) {
			delete(h, k)
		}
	}
}
