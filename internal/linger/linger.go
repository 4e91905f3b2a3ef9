// Package linger delivers answers that are sent before the caller's body has been
// read.
//
// Closing a TCP connection that has unread data resets it, and a reset discards
// whatever the caller has not read yet, including the answer. [Handler] therefore
// sends the answer, announces that the connection will be closed, and reads the rest
// of the body before net/http closes the connection. How much it reads, and for how
// long, is limited.
//
// net/http ends an answer without a length only after the handler has returned, and closes
// the connection then. Handler takes such a connection over and ends the answer itself.
//
// The connection is not reused even if the whole body was read: net/http would
// otherwise read from the body before it writes the answer's header, which delays the
// answer and takes bytes from a body that is still being forwarded.
//
// # Usage
//
//	http.Serve(listener, &linger.Handler{Next: handler})
package linger

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	defaultMaxBytes = 16 * unit.MiB
	defaultTimeout  = 5 * time.Second
)

type (
	// Handler calls another handler, and reads what that handler left unread of
	// the request's body.
	Handler struct {
		// Next answers the requests.
		Next http.Handler
		// MaxBytes is how much of a body is read after the answer; 0 means 16 MiB.
		MaxBytes unit.Bytes
		// Timeout is how long a body is read after the answer; 0 means 5 s.
		Timeout time.Duration
	}

	// body is a request body that records whether it was read completely. Its reads can
	// be stopped.
	body struct {
		io.ReadCloser
		complete atomic.Bool
		stopped  atomic.Bool
		reading  sync.Mutex
	}

	// answer is the answer to a request with a body.
	answer struct {
		http.ResponseWriter
		body          *body
		headerWritten bool
		status        int
	}
)

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		h.Next.ServeHTTP(w, r)
		return
	}
	b := &body{ReadCloser: r.Body}
	a := &answer{ResponseWriter: w, body: b}
	// The request is copied because net/http inspects the original body after the
	// handler has returned.
	copied := *r
	copied.Body = b
	h.Next.ServeHTTP(a, &copied)
	if b.complete.Load() {
		return
	}
	if !a.headerWritten {
		a.WriteHeader(http.StatusOK)
	}
	switch {
	case a.Header().Get("Content-Length") != "" || !hasBody(r, a.status):
		h.drain(w, b)
	default:
		h.takeOver(w, b, r.ProtoAtLeast(1, 1))
	}
}

// hasBody reports whether the answer to a request has a body.
func hasBody(r *http.Request, status int) bool {
	return r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// drain sends what was written of the answer and reads the rest of the body.
func (h *Handler) drain(w http.ResponseWriter, b *body) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(h.timeout())) != nil {
		return
	}
	// The deadline stays set, since net/http may read on when it closes the body.
	_, _ = io.CopyN(io.Discard, b, h.maxBytes())
}

// takeOver sends what was written of an answer without a length, takes the connection over
// from net/http, ends the answer and reads the rest of the body.
func (h *Handler) takeOver(w http.ResponseWriter, b *body, chunked bool) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || !b.stop(control) {
		return
	}
	conn, buffered, err := control.Hijack()
	if err != nil {
		return // net/http ends the answer
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(h.timeout())) != nil {
		return
	}
	if chunked {
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return
		}
	}
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, buffered, h.maxBytes())
}

func (h *Handler) timeout() time.Duration { return cmp.Or(h.Timeout, defaultTimeout) }

func (h *Handler) maxBytes() int64 { return int64(cmp.Or(h.MaxBytes, defaultMaxBytes)) }

// stop ends reads of the body, also one that waits for the caller. It reports whether no
// read is in progress any more.
func (b *body) stop(control *http.ResponseController) bool {
	b.stopped.Store(true)
	if control.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	return true
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.stopped.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete.Store(true)
	}
	return n, err
}

// WriteHeader writes the answer's status and header.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK && !a.headerWritten {
		a.headerWritten, a.status = true, status
		if !a.body.complete.Load() {
			a.Header().Set("Connection", "close")
		}
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer's body.
func (a *answer) Write(p []byte) (int, error) {
	if !a.headerWritten {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer, for [http.ResponseController].
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
