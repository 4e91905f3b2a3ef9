package upstream

import (
	"errors"
	"io"
	"sync/atomic"
)

// requestBody is a request's body that records the error of a read that failed.
type requestBody struct {
	io.ReadCloser
	failed atomic.Pointer[error]
}

// Read reads from the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(&err)
	}
	return n, err
}

// failure returns the error of a read that failed, nil if there is none.
func (b *requestBody) failure() error {
	if err := b.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// sendBody writes a request with a long body. If the body can't be read to its end,
// it closes the connection, since the server would wait for the rest until the
// deadline.
func (x *exchange) sendBody() error {
	out := *x.request.HTTP
	out.Body = x.body
	err := x.conn.send(&out)
	if x.body.failure() != nil && !x.answered.Load() {
		_ = x.conn.Close()
	}
	return err
}
