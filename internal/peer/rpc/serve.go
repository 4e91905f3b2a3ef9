package rpc

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/shallotpier/shallotpier/internal/peer"
)

const (
	defaultHandlerTimeout = 10 * time.Second
	maxRunning            = 64
	codeBusy              = -32000
)

// server answers the requests of one accepted connection.
type server struct {
	node    *Node
	net     net.Conn
	from    peer.Sender
	running chan struct{}
}

// Serve accepts connections until ctx ends or the listener fails. It closes
// the listener.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	defer l.Close()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = c.Close()
			}
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept peers")
		}
		go n.ServeConn(ctx, c)
	}
}

// ServeConn answers the requests of one connection until it closes or ctx ends.
func (n *Node) ServeConn(ctx context.Context, c net.Conn) {
	if !n.track(c) {
		_ = c.Close()
		return
	}
	defer n.untrack(c)
	s := &server{node: n, net: c, running: make(chan struct{}, maxRunning)}
	_ = c.SetReadDeadline(time.Now().Add(n.timeout())) // removed after the hello
	conn, _ := newConn(c, s)
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close()
	}
}

// Handle answers one request. jsonrpc2 calls it for one request at a time.
func (s *server) Handle(_ context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if s.from.Instance == "" {
		s.handshake(c, r)
		return
	}
	select {
	case s.running <- struct{}{}:
	default:
		respond(c, r, nil, &jsonrpc2.Error{Code: codeBusy, Message: "busy"})
		return
	}
	go func() {
		defer func() { <-s.running }()
		result, err := s.dispatch(r)
		respond(c, r, result, err)
	}()
}

func (s *server) handshake(c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	var h hello
	if r.Method != helloMethod || r.Params == nil || json.Unmarshal(*r.Params, &h) != nil || h.From.Instance == "" {
		respond(c, r, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "a connection begins with a hello"})
		_ = c.Close()
		return
	}
	s.from = h.From
	_ = s.net.SetReadDeadline(time.Time{})
	respond(c, r, hello{From: s.node.Self}, nil)
}

func (s *server) dispatch(r *jsonrpc2.Request) (any, error) {
	s.node.mu.Lock()
	handler := s.node.handlers[r.Method]
	s.node.mu.Unlock()
	if handler == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + r.Method}
	}
	limit := s.node.HandlerTimeout
	if limit == 0 {
		limit = defaultHandlerTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	return handler(ctx, s.from, params)
}

func respond(c *jsonrpc2.Conn, r *jsonrpc2.Request, result any, err error) {
	if r.Notif {
		return
	}
	response := &jsonrpc2.Response{ID: r.ID}
	if err == nil {
		err = response.SetResult(result)
	}
	if err != nil {
		response.Result = nil
		response.Error = remoteError(err)
	}
	if c.SendResponse(context.Background(), response) != nil {
		_ = c.Close()
	}
}

func remoteError(err error) *jsonrpc2.Error {
	var e *jsonrpc2.Error
	if eris.As(err, &e) {
		return e
	}
	return &jsonrpc2.Error{Message: err.Error()}
}

func (n *Node) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	if n.served == nil {
		n.served = map[net.Conn]struct{}{}
	}
	n.served[c] = struct{}{}
	return true
}

func (n *Node) untrack(c net.Conn) {
	_ = c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.served, c)
}
