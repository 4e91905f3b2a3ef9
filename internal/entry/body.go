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
	// maxPacedRead is the maximum number of bytes read at once from a paced
	// body.
	maxPacedRead   = 16 << 10
	minPacingDelay = time.Millisecond
)

var errOverLimit = errors.New("body exceeds the class's limit")

// callerBody reads a caller's body up to the class's limit. A read fails if the
// caller sends nothing for idleTimeout.
type callerBody struct {
	src         io.ReadCloser
	req         *http.Request
	control     *http.ResponseController
	remaining   int64
	idleTimeout time.Duration
	overLimit   atomic.Bool
	closed      atomic.Bool
	read        atomic.Int64
}

// pacedBody limits a body to the rate of its permit.
type pacedBody struct {
	io.ReadCloser
	ctx    context.Context
	permit admission.Paced
}

// Read reads from the body, and returns once the permit allows all bytes read
// to be sent.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), maxPacedRead)])
	for left := n; left > 0; {
		granted, wait := b.permit.Next(time.Now(), left)
		left -= granted
		if left <= 0 {
			break
		}
		select {
		case <-time.After(max(wait, minPacingDelay)):
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	return n, err
}

func newCallerBody(c *call) *callerBody {
	return &callerBody{src: c.r.Body, req: c.r, control: http.NewResponseController(c.w), remaining: int64(c.class.BodyLimit), idleTimeout: c.h.callerIdleTimeout()}
}

func (h *Handler) callerIdleTimeout() time.Duration {
	if h.CallerIdleTimeout == 0 {
		return defaultCallerIdleTimeout
	}
	return h.CallerIdleTimeout
}

// Read reads from the caller.
func (b *callerBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	_ = b.control.SetReadDeadline(time.Now().Add(b.idleTimeout))
	n, err := b.src.Read(p)
	b.read.Add(int64(n))
	if b.remaining -= int64(n); b.remaining < 0 {
		b.overLimit.Store(true)
		return 0, errOverLimit
	}
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, io.EOF) {
		removeSystemHeaders(b.req.Trailer)
	}
	return n, err
}

// Close leaves the body open; the HTTP server closes it.
func (b *callerBody) Close() error { return nil }

// bytesRead returns the number of bytes read.
func (b *callerBody) bytesRead() int64 {
	if b == nil {
		return 0
	}
	return b.read.Load()
}

// stop makes later reads fail, so that a send still in progress can't consume
// bytes of the connection's next request.
func (b *callerBody) stop() {
	if b != nil {
		b.closed.Store(true)
	}
}

// unread reports whether no byte was read.
func (b *callerBody) unread() bool { return b.read.Load() == 0 }

// trailer returns the trailer, which the HTTP server fills at the end of the
// body.
func (b *callerBody) trailer() http.Header {
	removeSystemHeaders(b.req.Trailer)
	return b.req.Trailer
}

func removeSystemHeaders(h http.Header) {
	for k := range h {
		if isSystemHeader(k) {
			delete(h, k)
		}
	}
}
