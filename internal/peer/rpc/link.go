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
	// meter counts the reads of a connection and bounds its writes in time.
	meter struct {
		net.Conn
		reads atomic.Int64
	}

	// link is a dialled connection.
	link struct {
		conn  *jsonrpc2.Conn
		meter *meter
		peer  peer.Sender
	}

	reply struct {
		result json.RawMessage
		err    error
	}

	// hello is the first message of a connection, and its answer.
	hello struct {
		From peer.Sender `json:"from"`
	}

	noRequests struct{}
)

// Read counts the read.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n > 0 {
		m.reads.Add(1)
	}
	return n, err
}

// Write fails if the bytes can't be written in time.
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

func (l *link) dead() bool {
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// call waits for the answer until ctx ends, also when writing is stuck.
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
		if r.err == nil && l.dead() {
			return nil, eris.New("connection dropped")
		}
		if ctx.Err() != nil {
			l.judge(ctx, before)
		}
		return r.result, r.err
	case <-ctx.Done():
		l.judge(ctx, before)
		return nil, ctx.Err()
	}
}

// judge drops the connection if nothing was read on it during a call that
// timed out. A call that its caller gave up says nothing.
func (l *link) judge(ctx context.Context, before int64) {
	if eris.Is(ctx.Err(), context.DeadlineExceeded) && l.meter.reads.Load() == before {
		_ = l.conn.Close()
	}
}

// Handle refuses requests on a connection that this end dialled.
func (noRequests) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		_ = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "wrong direction"})
	}
}
