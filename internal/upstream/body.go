package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shallotpier/shallotpier/internal/sockopt"
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

// bodySent reports whether the writing of the request has ended, and its error.
func (x *exchange) bodySent() (bool, error) {
	select {
	case err := <-x.written:
		x.written <- err
		return true, err
	default:
		return false, nil
	}
}

// acceptedEarly reports whether the server has answered with a success and hasn't taken all
// of the request's body yet.
func (x *exchange) acceptedEarly() bool {
	if !x.complete || x.resp.StatusCode >= http.StatusMultipleChoices {
		return false
	}
	sent, err := x.bodySent()
	return !sent || err == nil && x.conn.unacked() > 0
}

// endError returns an error if an answer without a length, whose end is that of its connection,
// has ended with a reset. The writer of a long body may have got the kernel's report of the
// reset, so that the reader has seen the end of the stream.
func (x *exchange) endError() error {
	if x.resp.ContentLength >= 0 || len(x.resp.TransferEncoding) > 0 || x.resp.Body == http.NoBody {
		return nil
	}
	sent, err := x.bodySent()
	if sent {
		return err
	}
	if sc, ok := x.conn.Conn.(syscall.Conn); ok {
		if closed, known := sockopt.Closed(sc); known {
			if closed {
				return errReset
			}
			return nil
		}
	}
	select {
	case err := <-x.written:
		x.written <- err
		return err
	case <-time.After(resetReportTimeout):
		return nil
	}
}

// unacked returns how many bytes of a long body the server's machine hasn't acknowledged.
func (c *conn) unacked() int {
	sc, ok := c.Conn.(syscall.Conn)
	if c.unackedLimit == unackedTimeout || !ok {
		return 0
	}
	return sockopt.Unacked(sc)
}

// sendRest sends the rest of the body and closes the connection.
func (x *exchange) sendRest() {
	deadline := time.Now().Add(acceptTimeout)
	_ = x.conn.SetDeadline(deadline)
	send := func() {
		defer x.conn.Close()
		if err := x.deliver(deadline); err != nil && x.request.Undelivered != nil {
			x.request.Undelivered(err)
		}
	}
	if !x.request.BodyKept {
		send()
		return
	}
	x.client.sending.Go(send)
}

// deliver waits until all of the body has been written and acknowledged.
func (x *exchange) deliver(deadline time.Time) error {
	select {
	case err := <-x.written:
		if err != nil {
			return err
		}
	case <-time.After(time.Until(deadline)): // the caller may have stopped sending
		return fmt.Errorf("body not written within %v of the answer", acceptTimeout)
	}
	// Closing a connection with unread bytes would reset it.
	if c, ok := x.conn.Conn.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
		_, err := io.CopyN(io.Discard, x.conn.Conn, maxHeadBytes)
		if err != nil && !errors.Is(err, io.EOF) && !isTimeout(err) {
			return err
		}
	}
	if n := x.conn.unacked(); n > 0 {
		return fmt.Errorf("%d bytes of the body not acknowledged within %v of the answer", n, acceptTimeout)
	}
	return nil
}
