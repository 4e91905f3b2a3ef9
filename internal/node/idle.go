package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections closes callers' connections that have been idle for too long. In
// contrast to http.Server.IdleTimeout, the timeout may change while connections are
// open. The zero value is ready for use.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// onStateChange records a state change of a connection.
func (i *idleConnections) onStateChange(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s != http.StateIdle {
		delete(i.since, c)
		return
	}
	if i.since == nil {
		i.since = make(map[net.Conn]time.Time)
	}
	i.since[c] = time.Now()
}

// close closes the connections that have been idle for at least limit.
func (i *idleConnections) close(now time.Time, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) >= limit {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
