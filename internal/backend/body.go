package backend

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

type (
	// requestBody reads the caller's body and records a read error. Without a
	// source it is empty.
	requestBody struct {
		src io.ReadCloser
		err atomic.Pointer[error]
	}

	// responseBody turns the read errors of a response body into SendErrors.
	responseBody struct {
		response *Response
		http     *http.Response
	}
)

// Read reads from the caller.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.src == nil {
		return 0, io.EOF
	}
	n, err := b.src.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err.Store(&err)
	}
	return n, err
}

// Close leaves the caller's body open; the HTTP server closes it.
func (b *requestBody) Close() error { return nil }

// readError returns the error of reading from the caller, or nil.
func (b *requestBody) readError() error {
	if err := b.err.Load(); err != nil {
		return *err
	}
	return nil
}

// Read reads the response body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.http.Body.Read(p)
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		b.response.Trailer, b.response.complete = b.http.Trailer, true
		if c := b.response.exchange.conn.Load(); c != nil {
			c.responsePending.Store(false)
		}
		return n, io.EOF
	default:
		return n, b.response.exchange.fail(err)
	}
}
