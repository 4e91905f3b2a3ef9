package backend

import (
	"io"
	"net"
	"time"
)

// lingerTimeout is how long a server may take to close a connection after the
// client has closed its side.
const lingerTimeout = 2 * time.Second

type (
	// PendingClose is the close of a connection whose response is no longer
	// awaited. The client has closed its side, which the server reads as
	// end of file. Once the server has closed the connection as well, it is no
	// longer running the request.
	PendingClose struct {
		done      chan struct{}
		confirmed bool
	}

	halfCloser interface{ CloseWrite() error }
)

// Wait waits until the server has closed the connection and returns true, or
// false if it has not done so within lingerTimeout. A nil PendingClose counts
// as closed.
func (p *PendingClose) Wait() bool {
	if p == nil {
		return true
	}
	<-p.done
	return p.confirmed
}

// Close closes the connection. While a response is pending, it closes only the
// write side at first, and the connection stays open until the server closes it
// or lingerTimeout has passed.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		half, ok := c.Conn.(halfCloser)
		if !c.responsePending.Load() || !ok {
			close(c.pending.done)
			_ = c.Conn.Close()
			return
		}
		// Reads and writes in progress fail, and no new one starts.
		c.closed.Store(true)
		_ = c.SetDeadline(time.Unix(1, 0))
		go c.linger(half)
	})
	return nil
}

func (c *conn) linger(half halfCloser) {
	c.waitForIO()
	_ = half.CloseWrite()
	_ = c.SetDeadline(time.Now().Add(lingerTimeout))
	_, err := io.Copy(io.Discard, c.Conn)
	c.pending.confirmed = err == nil || !isTimeout(err)
	_ = c.Conn.Close()
	close(c.pending.done)
}

// waitForIO waits until no read or write is in progress. None starts after
// closed is set.
func (c *conn) waitForIO() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.readMu.Lock()
	defer c.readMu.Unlock()
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}
