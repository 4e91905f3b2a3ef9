// Package crashcheck tells backend servers that have ended from servers that this entry
// can't reach.
//
// A server that broke off a connection and takes no new one may have ended, or its path
// from this entry may be cut. It counts as ended only if another server takes a connection
// at the same time. Servers whose connections broke off together share one such check.
//
// # Usage
//
//	c := &crashcheck.Checker{Connect: client.CanConnect}
//	if c.Check(ctx, server, others) == crashcheck.Ended {
//		record(server)
//	}
package crashcheck

import (
	"context"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Verdicts on a server.
const (
	// Unknown means that neither the server nor any other one takes a connection. It is
	// the zero Verdict.
	Unknown Verdict = iota
	// Alive means that the server takes connections.
	Alive
	// Ended means that the server refuses connections, and that another one takes them or
	// there is no other one.
	Ended
	// Silent is like Ended, but an attempt to connect got no answer: the server's machine
	// may have lost its power or its link, which no request causes.
	Silent
)

type (
	// Verdict is the result of a check.
	Verdict uint8

	// Target is a server that may be connected to.
	Target struct {
		// Name is the server's name.
		Name id.Server
		// Address is its IP address and port.
		Address string
	}

	// Checker checks servers. Its exported fields must not change after the first call.
	// It is safe for concurrent use.
	Checker struct {
		// Connect reports whether a new connection to an address is accepted.
		Connect func(ctx context.Context, address string) bool
		// Timeout is the time after which Connect gives up; 0 if it never does.
		Timeout time.Duration

		mu      sync.Mutex
		running map[id.Server]*comparison
	}

	// comparison is a running check of other servers, for one that takes no connection.
	comparison struct {
		done    chan struct{}
		reached bool
	}
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	switch v {
	case Alive:
		return "alive"
	case Ended:
		return "ended"
	case Silent:
		return "silent"
	default:
		return "unknown"
	}
}

// Check reports whether a server has ended. Others are servers that are thought to be
// reachable, best on the same path.
func (c *Checker) Check(ctx context.Context, server Target, others []Target) Verdict {
	start := time.Now()
	if c.Connect(ctx, server.Address) {
		return Alive
	}
	silent := c.Timeout > 0 && time.Since(start) >= c.Timeout
	switch {
	case len(others) > 0 && !c.anyReached(ctx, server.Name, others):
		return Unknown
	case silent:
		return Silent
	default:
		return Ended
	}
}

// anyReached reports whether any of the other servers takes a connection. Concurrent calls
// for one server share the result.
func (c *Checker) anyReached(ctx context.Context, server id.Server, others []Target) bool {
	c.mu.Lock()
	x := c.running[server]
	if x == nil {
		if c.running == nil {
			c.running = make(map[id.Server]*comparison)
		}
		x = &comparison{done: make(chan struct{})}
		c.running[server] = x
		go c.compare(ctx, server, x, others)
	}
	c.mu.Unlock()
	<-x.done
	return x.reached
}

func (c *Checker) compare(ctx context.Context, server id.Server, x *comparison, others []Target) {
	results := make(chan bool, len(others))
	for _, other := range others {
		go func() { results <- c.Connect(ctx, other.Address) }()
	}
	for range others {
		if <-results {
			x.reached = true
			break
		}
	}
	c.mu.Lock()
	delete(c.running, server)
	c.mu.Unlock()
	close(x.done)
}
