package backend

import (
	"net"
	"sync"
	"sync/atomic"
)

type (
	// limitedListener enforces the connection limit of a server.
	limitedListener struct {
		net.Listener
		server   *Server
		accepted int
	}

	// conn is a connection that can be stalled: reads return nothing, not even
	// the end of the connection, and writes are dropped.
	conn struct {
		net.Conn
		server  *Server
		number  int // index of the connection in order of acceptance
		stalled atomic.Bool
		once    sync.Once
		closed  chan struct{}
	}
)

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, server: l.server, number: l.accepted, closed: make(chan struct{})}
		l.accepted++
		if l.server.admitConn(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// Read reads from the connection; if it is stalled, Read blocks until Close.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.stalled.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection; if it is stalled, Write drops p.
func (c *conn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		delete(c.server.conns, c)
	})
	return c.Conn.Close()
}

// admitConn records the connection unless the server's limit is reached.
func (s *Server) admitConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Connections > 0 && len(s.conns) >= s.Connections {
		s.record.Refused++
		return false
	}
	s.conns[c] = struct{}{}
	s.record.MaxConnections = max(s.record.MaxConnections, len(s.conns))
	return true
}
