package backend

import (
	"io"
	"net"
	"time"
)

// lingerTime is how long a server may take to end a connection on which it
// was told that nobody waits for its answer any more.
const lingerTime = 2 * time.Second

type (
	// Ending is the end of a connection whose answer is not waited for. The
	// server was told by the end of what it reads. Once it has ended the
	// connection itself, it isn't running the request any more.
	Ending struct {
		done   chan struct{}
		proved bool
	}

	halfCloser interface{ CloseWrite() error }
)

// Wait waits until the server has ended the connection and returns true, or
// until it has not done so for too long and returns false. A nil Ending has
// ended.
func (e *Ending) Wait() bool {
	if e == nil {
		return true
	}
	<-e.done
	return e.proved
}

// Close closes the connection. If a request is unanswered on it, the server is
// told first, and the connection stays open until the server ends it.
func (c *conn) Close() error {
	c.closing.Do(func() {
		half, ok := c.Conn.(halfCloser)
		if !c.busy.Load() || !ok {
			close(c.ending.done)
			_ = c.Conn.Close()
			return
		}
		// Reads and writes under way end, and none begins.
		c.closed.Store(true)
		_ = c.SetDeadline(time.Unix(1, 0))
		go c.linger(half)
	})
	return nil
}

func (c *conn) linger(half halfCloser) {
	c.quiet()
	_ = half.CloseWrite()
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	_, err := io.Copy(io.Discard, c.Conn)
	c.ending.proved = err == nil || !isTimeout(err)
	_ = c.Conn.Close()
	close(c.ending.done)
}

// quiet waits until no read or write is under way. None begins after closed
// is set.
func (c *conn) quiet() {
	c.write.Lock()
	defer c.write.Unlock()
	c.reading.Lock()
	defer c.reading.Unlock()
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}
