package pipeline

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"
)

type (
	// lane is a connection as net/http sees it: all of a caller's connection, or the part
	// of it that consists of some of the requests and their answers.
	lane struct {
		conn *conn

		// What follows is used once the connection is split, under the connection's
		// lock.

		in      []byte    // bytes that net/http hasn't read yet
		current *exchange // the request that is handled, nil if there is none
		// idle is set while net/http waits for a request.
		idle   bool
		closed bool
		before int // requests that were handled when the current one began
		// arrived is when the current request's head had arrived; zero if it was read
		// at once.
		arrived time.Time
		read    deadline
		write   deadline
	}

	// deadline is a deadline of reads or writes. Its timer wakes those that wait.
	deadline struct {
		at    time.Time
		timer *time.Timer
	}
)

var _ net.Conn = (*lane)(nil)

// Read reads from the caller.
func (n *lane) Read(p []byte) (int, error) {
	c := n.conn
	c.mu.Lock()
	split := c.split
	c.mu.Unlock()
	if !split {
		got, split, err := c.readThrough(p)
		if !split {
			return got, err
		}
	}
	c.mu.Lock()
	defer c.unlock()
	for {
		switch {
		case n.closed:
			return 0, net.ErrClosed
		case len(n.in) > 0:
			got := copy(p, n.in)
			if n.in = n.in[got:]; len(n.in) == 0 {
				n.in = nil
			}
			c.dispatch()
			return got, nil
		case n.read.passed():
			return 0, os.ErrDeadlineExceeded
		case c.err != nil:
			return 0, c.err
		case c.ended, c.left:
			return 0, io.EOF
		}
		c.changed.Wait()
	}
}

// Write writes to the caller, or holds the bytes while earlier requests are unanswered.
func (n *lane) Write(p []byte) (int, error) {
	written, err := n.writeOrHold(p)
	if err == nil {
		n.conn.listener.observeRejected(n, p)
	}
	return written, err
}

func (n *lane) writeOrHold(p []byte) (int, error) {
	c := n.conn
	c.mu.Lock()
	if !c.split {
		c.mu.Unlock()
		return c.raw.Write(p)
	}
	defer c.unlock()
	x := n.current
	for {
		switch {
		case n.closed, x == nil:
			return 0, net.ErrClosed
		case c.err != nil:
			return 0, c.err
		case c.ended || !slices.Contains(c.handled, x):
			return 0, errEnded
		case c.handled[0] == x && !c.writing && len(x.held) == 0:
			c.write(p, n.write.at)
			if c.err != nil {
				return 0, c.err
			}
			c.changed.Broadcast()
			return len(p), nil
		case c.held == 0, c.held+len(p) <= maxHeld:
			x.held = append(x.held, p...)
			c.held += len(p)
			c.advance()
			return len(p), nil
		case n.write.passed():
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
}

// Close ends the answer, and with it the connection once the answers before it have been
// written. An idle lane that isn't the main one is dropped.
func (n *lane) Close() error {
	c := n.conn
	c.mu.Lock()
	if !c.split {
		c.mu.Unlock()
		return c.raw.Close()
	}
	defer c.unlock()
	if n.closed {
		return nil
	}
	n.finish(true)
	n.closed, n.idle = true, false
	c.last = c.last || n == &c.main
	n.read.stop()
	n.write.stop()
	c.lanes = slices.DeleteFunc(c.lanes, func(other *lane) bool { return other == n && n != &c.main })
	c.advance()
	c.dispatch()
	return nil
}

// CloseWrite closes the connection for writing, if this is its only request.
func (n *lane) CloseWrite() error {
	c := n.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.split && (len(c.handled) != 1 || c.handled[0] != n.current) {
		return nil
	}
	if closer, ok := c.raw.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// finish records that the current request's answer has been written by net/http.
func (n *lane) finish(closes bool) {
	if n.current != nil {
		n.current.done, n.current.closes = true, closes
		n.current = nil
	}
}

func (n *lane) ahead() int {
	c := n.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	return n.before
}

func (n *lane) arrival() time.Time {
	c := n.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	return n.arrived
}

// LocalAddr returns the entry's address.
func (n *lane) LocalAddr() net.Addr { return n.conn.raw.LocalAddr() }

// RemoteAddr returns the caller's address.
func (n *lane) RemoteAddr() net.Addr { return n.conn.raw.RemoteAddr() }

// SetDeadline sets both deadlines.
func (n *lane) SetDeadline(t time.Time) error {
	return errors.Join(n.SetReadDeadline(t), n.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of reads.
func (n *lane) SetReadDeadline(t time.Time) error {
	c := n.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.split {
		n.read.at = t
		return c.raw.SetReadDeadline(t)
	}
	n.read.set(c, t)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (n *lane) SetWriteDeadline(t time.Time) error {
	c := n.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	n.write.at = t
	if !c.split {
		return c.raw.SetWriteDeadline(t)
	}
	n.write.set(c, t)
	return nil
}

// set sets the deadline of a lane of a connection that is split, whose lock is held.
func (d *deadline) set(c *conn, t time.Time) {
	d.stop()
	d.at = t
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		d.timer = time.AfterFunc(wait, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.changed.Broadcast()
		})
	}
	c.changed.Broadcast()
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
