package backend

import (
	"net"
	"sync"
	"sync/atomic"
)

type (
	// countingListener keeps the connection limit of a server.
	countingListener struct {
		net.Listener
		server *Server
		opened int
	}

	// conn is a connection that can go silent: nothing arrives on it any
	// more, not even its end, and nothing that is written leaves.
	conn struct {
		net.Conn
		server *Server
		number int
		silent atomic.Bool
		once   sync.Once
		closed chan struct{}
	}
)

// Accept returns the next connection within the limit.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, server: l.server, number: l.opened, closed: make(chan struct{})}
		l.opened++
		if l.server.admitConn(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// Read reads; on a silent connection it waits for Close.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes, and drops p while the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
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
