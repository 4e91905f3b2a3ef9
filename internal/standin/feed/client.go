package feed

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/standin/link"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/internal/transfer"
)

// maxTransfer limits the time from an answer's first byte to its last.
const maxTransfer = 20 * time.Second

var errReset = errors.New("connection reset")

type (
	// Client calls a Store. Its exported fields must be set before its first use.
	Client struct {
		// Store is the store that it calls.
		Store *Store
		// Timeout limits the time to the beginning of an answer, for a watch in addition to its
		// wait, and then the time without a further part of it.
		Timeout time.Duration
		// Link is the link that answers pass, nil if they take no time.
		Link *link.Link
		// Size returns the size of an object in an answer in bytes; nil means 0.
		Size func(*store.Object) int
		// WholeCalls makes Timeout limit the whole call, however much of the answer has
		// arrived, and hides that an answer is arriving.
		WholeCalls bool
		// HidesEra makes all versions those of era 0, as if answers didn't carry
		// the era.
		HidesEra bool

		mu     sync.Mutex
		fault  Fault
		lists  int
		bytes  int64
		faults chan struct{} // closed when fault changes
		calls  map[*transfer.Transfer]context.CancelCauseFunc
		latest *transfer.Transfer
	}

	// body is the body of an answer.
	body struct {
		*Client
		ctx     context.Context
		left    int // bytes that haven't passed the link
		arrived int // bytes that have and aren't read
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

var (
	_ store.Feed     = (*Client)(nil)
	_ store.Receiver = (*Client)(nil)
)

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

// Bytes returns the number of bytes of answers that have passed the link.
func (c *Client) Bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// Reset closes the connections of all calls in progress.
func (c *Client) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.calls {
		cancel(errReset)
	}
}

// Receiving implements store.Receiver.
func (c *Client) Receiving() bool {
	c.mu.Lock()
	t := c.latest
	c.mu.Unlock()
	return !c.WholeCalls && t.Receiving()
}

// begin begins a call. The returned function ends it.
func (c *Client) begin(ctx context.Context, limit time.Duration) (context.Context, *transfer.Transfer, func()) {
	stop := context.CancelFunc(func() {})
	if c.WholeCalls {
		ctx, stop = context.WithTimeout(ctx, limit)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, t := transfer.Begin(ctx, transfer.Limits{First: limit, Stall: c.Timeout, Total: maxTransfer})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = make(map[*transfer.Transfer]context.CancelCauseFunc)
	}
	c.calls[t], c.latest = cancel, t
	return ctx, t, func() {
		t.End()
		cancel(nil)
		stop()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.calls, t)
	}
}

// receive receives the body of an answer. It returns false if it doesn't arrive.
func (c *Client) receive(ctx context.Context, t *transfer.Transfer, size int) bool {
	_, err := io.Copy(io.Discard, t.Reader(&body{Client: c, ctx: ctx, left: size}))
	return err == nil
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.arrived == 0 {
		if b.left == 0 {
			return 0, io.EOF
		}
		b.arrived = min(b.left, link.Chunk)
		b.left -= b.arrived
		b.mu.Lock()
		b.bytes += int64(b.arrived)
		b.mu.Unlock()
		select {
		case <-time.After(b.Link.Reserve(b.arrived)):
		case <-b.ctx.Done():
		}
		b.mu.Lock()
		fault := b.fault
		b.mu.Unlock()
		if fault.Stalled {
			<-b.ctx.Done()
		}
		if fault.Unavailable || b.ctx.Err() != nil {
			return 0, errReset
		}
	}
	n := min(len(p), b.arrived)
	b.arrived -= n
	return n, nil
}

// All implements store.Feed.
func (c *Client) All(ctx context.Context) ([]store.Object, store.Version, error) {
	c.mu.Lock()
	c.lists++
	c.mu.Unlock()
	ctx, t, end := c.begin(ctx, c.Timeout)
	defer end()
	s := c.Store
	s.mu.Lock()
	all, version, unavailable := s.list(), s.state.version, s.unavailable
	s.mu.Unlock()
	size := 0
	for i := range all {
		size += c.size(&all[i])
	}
	if unavailable || !c.deliver(ctx) || !c.receive(ctx, t, size) {
		return nil, store.Version{}, store.ErrUnavailable
	}
	for i := range all {
		all[i].Version = c.shown(all[i].Version)
	}
	return all, c.shown(version), nil
}

// Changes implements store.Feed.
func (c *Client) Changes(ctx context.Context, after store.Version, wait time.Duration) ([]store.Change, store.Version, error) {
	ctx, t, end := c.begin(ctx, wait+c.Timeout)
	defer end()
	changes, version, err := c.await(ctx, after, wait)
	size := 0
	for i := range changes {
		if !changes[i].Removed {
			size += c.size(&changes[i].Object)
		}
	}
	if !c.deliver(ctx) || !c.receive(ctx, t, size) {
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

func (c *Client) size(o *store.Object) int {
	if c.Size == nil {
		return 0
	}
	return c.Size(o)
}

func (c *Client) shown(v store.Version) store.Version {
	if c.HidesEra {
		v.Era = 0
	}
	return v
}
