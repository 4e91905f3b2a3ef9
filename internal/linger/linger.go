// Package linger delivers answers that are sent before the caller's body has been
// read.
//
// Closing a TCP connection that has unread data resets it, and a reset discards
// whatever the caller has not read yet, including the answer. [Handler] therefore
// sends the answer, announces that the connection will be closed, and reads the rest
// of the body before net/http closes the connection. How much it reads, and for how
// long, is limited.
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
	"errors"
	"io"
	"net/http"
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

	// body is a request body that records whether it was read completely.
	body struct {
		io.ReadCloser
		complete atomic.Bool
	}

	// answer is the answer to a request with a body.
	answer struct {
		http.ResponseWriter
		body          *body
		headerWritten bool
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
	// net/http ends a chunked answer after the handler has returned; reading first
	// would delay that. For a request with "Connection: close" net/http reads
	// nothing by itself.
	if a.Header().Get("Content-Length") != "" || r.Close {
		h.drain(w, b)
	}
}

// drain sends what was written of the answer and reads the rest of the body.
func (h *Handler) drain(w http.ResponseWriter, b *body) {
	limit, timeout := h.MaxBytes, h.Timeout
	if limit == 0 {
		limit = defaultMaxBytes
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	// The deadline stays set, since net/http may read on when it closes the body.
	_, _ = io.CopyN(io.Discard, b, int64(limit))
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete.Store(true)
	}
	return n, err
}

// WriteHeader writes the answer's status and header.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK && !a.headerWritten {
		a.headerWritten = true
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
