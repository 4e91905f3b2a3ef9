package feed

import (
	"context"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
)

type (
	// Client calls a Store. Its exported fields must be set before its first use.
	Client struct {
		// Store is the store that it calls.
		Store *Store
		// Timeout limits a call, for a watch in addition to its wait.
		Timeout time.Duration
		// HidesEra makes all versions those of era 0, as if answers didn't carry
		// the era.
		HidesEra bool

		mu     sync.Mutex
		fault  Fault
		lists  int
		faults chan struct{} // closed when fault changes
	}

	// Fault is a fault of one client's connections to the store.
	Fault struct {
		// Unavailable makes all calls fail.
		Unavailable bool
		// Stalled withholds all answers, including those of pending calls.
		Stalled bool
		// Delay is added between the store's answer and its arrival.
		Delay time.Duration
	}
)

var _ store.Feed = (*Client)(nil)

// SetFault sets the fault for all calls, including pending ones.
func (c *Client) SetFault(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
	if c.faults != nil {
		close(c.faults)
		c.faults = nil
	}
}

// Lists returns the number of calls of All.
func (c *Client) Lists() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lists
}

// All implements store.Feed.
func (c *Client) All(ctx context.Context) ([]store.Object, store.Version, error) {
	c.mu.Lock()
	c.lists++
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	s := c.Store
	s.mu.Lock()
	all, version, unavailable := s.list(), s.state.version, s.unavailable
	s.mu.Unlock()
	if unavailable || !c.deliver(ctx) {
		return nil, store.Version{}, store.ErrUnavailable
	}
	for i := range all {
		all[i].Version = c.shown(all[i].Version)
	}
	return all, c.shown(version), nil
}

// Changes implements store.Feed.
func (c *Client) Changes(ctx context.Context, after store.Version, wait time.Duration) ([]store.Change, store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.Timeout)
	defer cancel()
	changes, version, err := c.await(ctx, after, wait)
	if !c.deliver(ctx) {
		return nil, store.Version{}, store.ErrUnavailable
	}
	for i := range changes {
		changes[i].Version = c.shown(changes[i].Version)
	}
	return changes, c.shown(version), err
}

// await returns the store's answer to a watch.
func (c *Client) await(ctx context.Context, after store.Version, wait time.Duration) ([]store.Change, store.Version, error) {
	s := c.Store
	ended := time.After(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	for begun, waiting := s.state.version.Era, true; ; {
		version := s.state.version
		switch {
		case s.unavailable, version.Era != begun:
			return nil, store.Version{}, store.ErrUnavailable
		case after.Revision > version.Revision && !c.HidesEra:
			return nil, store.Version{}, store.ErrRestored
		case after.Revision > version.Revision, after.Revision < s.state.compacted:
			return nil, store.Version{}, store.ErrCompacted
		}
		if changes := s.changesAfter(after.Revision); len(changes) > 0 || !waiting {
			return changes, version, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ended:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		s.mu.Lock()
	}
}

// deliver waits until an answer arrives. It returns false if it doesn't.
func (c *Client) deliver(ctx context.Context) bool {
	var arrived <-chan time.Time
	for {
		c.mu.Lock()
		if c.faults == nil {
			c.faults = make(chan struct{})
		}
		fault, changed := c.fault, c.faults
		c.mu.Unlock()
		if arrived == nil {
			arrived = time.After(fault.Delay)
		}
		if fault.Unavailable || ctx.Err() != nil {
			return false
		}
		if fault.Stalled {
			// A connection that has stalled doesn't recover.
			<-ctx.Done()
			return false
		}
		select {
		case <-arrived:
			return true
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (c *Client) shown(v store.Version) store.Version {
	if c.HidesEra {
		v.Era = 0
	}
	return v
}
