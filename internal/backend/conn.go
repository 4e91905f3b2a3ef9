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
	unackedTimeout    = 10 * time.Second
	minStallCheck     = 10 * time.Millisecond
)

// conn counts the bytes of a connection, detects stalls and closes gracefully.
type conn struct {
	net.Conn
	writeStallTimeout time.Duration
	readStallTimeout  atomic.Int64
	written           atomic.Int64
	received          atomic.Int64
	// writeStart and lastProgress are Unix times in nanoseconds; writeStart is
	// 0 while no write is in progress.
	writeStart   atomic.Int64
	lastProgress atomic.Int64
	readPending  atomic.Bool
	writeMu      sync.Mutex
	readMu       sync.Mutex
	// responsePending is set while a request has no complete response; closed,
	// once the response is no longer awaited.
	responsePending atomic.Bool
	closed          atomic.Bool
	closeOnce       sync.Once
	pending         PendingClose
}

// Write counts the bytes that the connection accepts. If the server stops
// reading in the middle of a request, the rest is dropped without an error: an
// error would make the transport discard the response, which still arrives
// through Read, as does the close of the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.writeStart.Store(time.Now().UnixNano())
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if n > 0 {
		c.responsePending.Store(true)
	}
	c.writeStart.Store(0)
	c.lastProgress.Store(time.Now().UnixNano())
	if err != nil && c.responsePending.Load() && isReadClosed(err) {
		return len(p), nil
	}
	return n, err
}

// isReadClosed reports whether err means that the peer no longer reads.
func isReadClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrClosedPipe)
}

// Read counts received bytes and records when they arrive.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.readPending.Store(true)
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.readPending.Store(false)
	c.lastProgress.Store(time.Now().UnixNano())
	return n, err
}

// restartStallClock sets the read stall timeout and counts it from now; with 0,
// only writes can stall.
func (c *conn) restartStallClock(readStallTimeout time.Duration) {
	c.readStallTimeout.Store(int64(readStallTimeout))
	c.lastProgress.Store(time.Now().UnixNano())
}

// closeAndCountWritten closes the connection and returns the number of bytes
// written, once no write is in progress.
func (c *conn) closeAndCountWritten() int64 {
	_ = c.Close()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.written.Load()
}

// isStalled reports whether a write, or a read that is waited for, has made no
// progress within its timeout. A connection without a write in progress can't
// exceed the write stall timeout.
func (c *conn) isStalled() bool { return c.untilStalled(time.Now()) <= 0 }

// nextStallCheck returns the time until the next stall check.
func (c *conn) nextStallCheck() time.Duration { return max(c.untilStalled(time.Now()), minStallCheck) }

// untilStalled returns how long the connection may still make no progress.
func (c *conn) untilStalled(now time.Time) time.Duration {
	left := c.writeStallTimeout
	if since := c.writeStart.Load(); since != 0 {
		left = c.writeStallTimeout - now.Sub(time.Unix(0, since))
	}
	if p := time.Duration(c.readStallTimeout.Load()); p > 0 {
		waited := time.Duration(0)
		if c.readPending.Load() {
			waited = now.Sub(time.Unix(0, c.lastProgress.Load()))
		}
		left = min(left, p-waited)
	}
	return left
}

// dialTCP connects with keep-alive probes and a timeout for unacknowledged
// data, so that the kernel detects a dead connection even while no data is
// expected from the server.
func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: sockopt.LimitUnacked(unackedTimeout),
	}
	return d.DialContext(ctx, "tcp", addr.String())
}
