package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// idleConnections closes callers' connections that have been idle for too long. In
	// contrast to http.Server.IdleTimeout, the timeout may change while connections are
	// open. The zero value is ready for use.
	idleConnections struct {
		mu   sync.Mutex
		idle map[net.Conn]*idleConnection
	}

	idleConnection struct {
		since   time.Time
		expired bool
	}
)

// onStateChange records a state change of a connection.
func (i *idleConnections) onStateChange(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		if i.idle == nil {
			i.idle = make(map[net.Conn]*idleConnection)
		}
		i.idle[c] = &idleConnection{since: time.Now()}
		return
	}
	if conn := i.idle[c]; conn != nil && conn.expired {
		_ = c.SetReadDeadline(time.Time{})
	}
	delete(i.idle, c)
}

// close makes net/http close the connections that have been idle for at least limit.
//
// They are not closed here: net/http reports a connection as active only after it has
// read the request's header, and would handle a request whose connection is closed
// already. With a read deadline that has passed, it closes a connection on which it
// still waits for a request, and onStateChange removes the deadline otherwise.
func (i *idleConnections) close(now time.Time, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, conn := range i.idle {
		if now.Sub(conn.since) >= limit {
			conn.expired = true
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
}
