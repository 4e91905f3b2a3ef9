package rpc

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/shallotpier/shallotpier/internal/peer"
)

const (
	helloMethod  = "hello"
	writeTimeout = 5 * time.Second
)

type (
	// meter counts the reads of a connection and sets a deadline for each of
	// its writes.
	meter struct {
		net.Conn
		reads atomic.Int64
	}

	// link is a connection dialled by this node.
	link struct {
		conn  *jsonrpc2.Conn
		meter *meter
		peer  peer.Sender
	}

	reply struct {
		result json.RawMessage
		err    error
	}

	// hello is the first request of a connection, and the answer to it.
	hello struct {
		From peer.Sender `json:"from"`
	}

	rejectRequests struct{}
)

// Read counts a read that returns data.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n > 0 {
		m.reads.Add(1)
	}
	return n, err
}

// Write fails if p can't be written within writeTimeout.
func (m *meter) Write(p []byte) (int, error) {
	if err := m.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return m.Conn.Write(p)
}

func newConn(c net.Conn, h jsonrpc2.Handler) (*jsonrpc2.Conn, *meter) {
	m := &meter{Conn: c}
	stream := jsonrpc2.NewBufferedStream(m, codec{})
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	return jsonrpc2.NewConn(context.Background(), stream, h, quiet), m
}

func (l *link) closed() bool {
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// call sends a request and waits for its answer until ctx ends, even if the
// write blocks.
func (l *link) call(ctx context.Context, method string, params any) (json.RawMessage, error) {
	before := l.meter.reads.Load()
	done := make(chan reply, 1)
	go func() {
		var r reply
		r.err = l.conn.Call(ctx, method, params, &r.result)
		done <- r
	}()
	select {
	case r := <-done:
		if r.err == nil && l.closed() {
			return nil, eris.New("connection closed")
		}
		if ctx.Err() != nil {
			l.closeIfStalled(ctx, before)
		}
		return r.result, r.err
	case <-ctx.Done():
		l.closeIfStalled(ctx, before)
		return nil, ctx.Err()
	}
}

// closeIfStalled closes the connection if nothing was read on it during a call
// that timed out. A call that its caller cancelled is no evidence of a stalled
// connection.
func (l *link) closeIfStalled(ctx context.Context, before int64) {
	if eris.Is(ctx.Err(), context.DeadlineExceeded) && l.meter.reads.Load() == before {
		_ = l.conn.Close()
	}
}

// Handle rejects requests on a connection that this end dialled.
func (rejectRequests) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		_ = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "wrong direction"})
	}
}
