package rpc

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	defaultTimeout = time.Second
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

type (
	// Node is both client and server of the calls between entries. Its fields
	// must not change after the first call. It is safe for concurrent use.
	Node struct {
		// Self identifies this process.
		Self peer.Sender
		// Dial connects to a peer.
		Dial func(ctx context.Context, to id.Instance) (net.Conn, error)
		// Timeout limits a dial including its hello, and a call whose context
		// has no deadline; 0 means 1 s.
		Timeout time.Duration
		// HandlerTimeout limits the run time of a handler; 0 means 10 s.
		HandlerTimeout time.Duration

		mu       sync.Mutex
		handlers map[string]peer.Handler
		peers    map[id.Instance]*remote
		served   map[net.Conn]struct{}
		closed   bool
	}

	// remote is the state of the connection to a peer.
	remote struct {
		mu      sync.Mutex
		link    *link
		dialing chan struct{}
		backoff time.Duration
		retryAt time.Time
		err     error
	}
)

var _ peer.Caller = (*Node)(nil)

// Register sets the handler of a method, replacing an earlier one.
func (n *Node) Register(method string, handler peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers == nil {
		n.handlers = map[string]peer.Handler{}
	}
	n.handlers[method] = handler
}

// Call sends a request to a peer and decodes its answer into result. An error
// that the peer's handler returned is a *jsonrpc2.Error.
func (n *Node) Call(ctx context.Context, to id.Instance, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.timeout())
		defer cancel()
	}
	l, err := n.connect(ctx, to)
	if err != nil {
		return eris.Wrapf(err, "connect to %s", to)
	}
	answer, err := l.call(ctx, method, params)
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", method, to)
	}
	if result == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(answer, result), "answer to %s from %s", method, to)
}

// Receiving reports whether a large message of a peer is arriving, which may be the answer
// to a call.
func (n *Node) Receiving(from id.Instance) bool {
	r := n.remote(from)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link != nil && r.link.meter.receiving()
}

// Drop closes the connection to a peer and resets its backoff, so that the next
// call dials immediately.
func (n *Node) Drop(to id.Instance) {
	r := n.remote(to)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAt, r.backoff = time.Time{}, 0
	if r.link != nil {
		_ = r.link.conn.Close()
		r.link = nil
	}
}

// Close closes all connections. The node must not be used afterwards.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	peers := n.peers
	n.peers = nil
	for c := range n.served {
		_ = c.Close()
	}
	n.mu.Unlock()
	for _, r := range peers {
		r.mu.Lock()
		if r.link != nil {
			_ = r.link.conn.Close()
		}
		r.mu.Unlock()
	}
}

func (n *Node) remote(to id.Instance) *remote {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.peers[to]
	if !ok {
		if n.peers == nil {
			n.peers = map[id.Instance]*remote{}
		}
		r = new(remote)
		n.peers[to] = r
	}
	return r
}

// connect returns the connection to a peer, dialling if there is none.
// Concurrent calls share one dial.
func (n *Node) connect(ctx context.Context, to id.Instance) (*link, error) {
	r := n.remote(to)
	r.mu.Lock()
	if r.link != nil && !r.link.closed() {
		defer r.mu.Unlock()
		return r.link, nil
	}
	if r.dialing == nil {
		if wait := time.Until(r.retryAt); wait > 0 {
			defer r.mu.Unlock()
			return nil, eris.Wrapf(r.err, "next dial in %s", wait)
		}
		r.dialing = make(chan struct{})
		go n.dial(r, to)
	}
	dialing := r.dialing
	r.mu.Unlock()
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil {
		return nil, r.err
	}
	return r.link, nil
}

func (n *Node) dial(r *remote, to id.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), n.timeout())
	defer cancel()
	l, err := n.handshake(ctx, to)
	n.mu.Lock()
	closed := n.closed
	n.mu.Unlock()
	if closed && l != nil {
		_ = l.conn.Close()
		l, err = nil, eris.New("node is closed")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link, r.err = l, err
	close(r.dialing)
	r.dialing = nil
	if err == nil {
		r.backoff = 0
		return
	}
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	r.retryAt = time.Now().Add(jitter(r.backoff))
}

func (n *Node) handshake(ctx context.Context, to id.Instance) (*link, error) {
	c, err := n.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	l := new(link)
	l.conn, l.meter = newConn(c, rejectRequests{})
	answer, err := l.call(ctx, helloMethod, hello{From: n.Self})
	if err != nil {
		_ = l.conn.Close()
		return nil, eris.Wrap(err, "hello")
	}
	var h hello
	if err := json.Unmarshal(answer, &h); err != nil {
		_ = l.conn.Close()
		return nil, eris.Wrap(err, "hello")
	}
	if h.From.Instance != to {
		_ = l.conn.Close()
		return nil, eris.Errorf("connected to %s instead of %s", h.From.Instance, to)
	}
	l.peer = h.From
	return l, nil
}

func (n *Node) timeout() time.Duration {
	if n.Timeout == 0 {
		return defaultTimeout
	}
	return n.Timeout
}

// jitter returns between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}
