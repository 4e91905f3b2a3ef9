package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shallotpier/shallotpier/internal/sockopt"
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	unackedLimit      = 10 * time.Second
	minLook           = 10 * time.Millisecond
)

// conn counts what moves on a connection, and since when nothing has.
type conn struct {
	net.Conn
	stall    time.Duration
	patience atomic.Int64
	written  atomic.Int64
	received atomic.Int64
	// writing and moved are in nanoseconds of the wall clock; writing is 0
	// while no write is under way.
	writing atomic.Int64
	moved   atomic.Int64
	waiting atomic.Bool
	write   sync.Mutex
	reading sync.Mutex
	// busy tells that a request is unanswered; closed, that it is not waited
	// for.
	busy    atomic.Bool
	closed  atomic.Bool
	closing sync.Once
	ending  Ending
}

// Write counts what the connection took. If the server stops reading in the
// middle of a request, the rest is dropped: its answer, or the end of the
// connection, comes by Read, and would be lost with an error here.
func (c *conn) Write(p []byte) (int, error) {
	c.write.Lock()
	defer c.write.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.writing.Store(time.Now().UnixNano())
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if n > 0 {
		c.busy.Store(true)
	}
	c.writing.Store(0)
	c.moved.Store(time.Now().UnixNano())
	if err != nil && c.busy.Load() && refused(err) {
		return len(p), nil
	}
	return n, err
}

// refused tells whether the other side reads no more.
func refused(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrClosedPipe)
}

// Read notes when bytes arrive.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.waiting.Store(true)
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.waiting.Store(false)
	c.moved.Store(time.Now().UnixNano())
	return n, err
}

// begin starts the judgement anew; patience 0 judges by writes alone.
func (c *conn) begin(patience time.Duration) {
	c.patience.Store(int64(patience))
	c.moved.Store(time.Now().UnixNano())
}

// settled closes the connection and returns the number of bytes written, once
// no write is under way.
func (c *conn) settled() int64 {
	_ = c.Close()
	c.write.Lock()
	defer c.write.Unlock()
	return c.written.Load()
}

// isSilent tells whether a write, or an awaited read, has not moved for too
// long. A connection that has nothing to write is not judged by writes.
func (c *conn) isSilent() bool { return c.left(time.Now()) <= 0 }

// next returns when to look again.
func (c *conn) next() time.Duration { return max(c.left(time.Now()), minLook) }

// left returns how long the connection may still stay as it is.
func (c *conn) left(now time.Time) time.Duration {
	left := c.stall
	if since := c.writing.Load(); since != 0 {
		left = c.stall - now.Sub(time.Unix(0, since))
	}
	if p := time.Duration(c.patience.Load()); p > 0 {
		waited := time.Duration(0)
		if c.waiting.Load() {
			waited = now.Sub(time.Unix(0, c.moved.Load()))
		}
		left = min(left, p-waited)
	}
	return left
}

// dialTCP connects with keep-alive probes and a limit on unacknowledged data,
// so that the kernel finds a connection that has gone silent even while
// nothing is due from the server.
func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: sockopt.LimitUnacked(unackedLimit),
	}
	return d.DialContext(ctx, "tcp", addr.String())
}
