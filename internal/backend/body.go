package backend

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

type (
	// requestBody passes the caller's body on and keeps the error that it
	// ended with. Without a source it is empty.
	requestBody struct {
		src io.ReadCloser
		err atomic.Pointer[error]
	}

	// answerBody turns the errors of an answer's body into SendErrors.
	answerBody struct {
		answer *Answer
		resp   *http.Response
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

// Close leaves the caller's body open, for its server to close.
func (b *requestBody) Close() error { return nil }

// failed returns the error that reading from the caller ended with.
func (b *requestBody) failed() error {
	if err := b.err.Load(); err != nil {
		return *err
	}
	return nil
}

// Read reads the answer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		b.answer.Trailer, b.answer.whole = b.resp.Trailer, true
		if c := b.answer.send.conn.Load(); c != nil {
			c.busy.Store(false)
		}
		return n, io.EOF
	default:
		return n, b.answer.send.fail(err)
	}
}
