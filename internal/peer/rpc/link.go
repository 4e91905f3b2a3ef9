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
	// writeChunk is the number of bytes for which writeTimeout holds.
	writeChunk = 64 << 10
	// largeMessage is the size in bytes from which a message counts as arriving while parts
	// of it arrive.
	largeMessage = 16 << 10
	// recent is the time after a part in which a message counts as arriving. It covers a
	// retransmission.
	recent = 300 * time.Millisecond
	// receiveCheck is the interval of checks whether an answer that is late is arriving.
	receiveCheck = 50 * time.Millisecond
	// maxTransfer limits how long a call waits for an answer that is arriving.
	maxTransfer = 20 * time.Second
)

type (
	// meter counts the reads of a connection and sets a deadline for each part of
	// its writes.
	meter struct {
		net.Conn
		reads  atomic.Int64
		latest atomic.Int64 // Unix time in nanoseconds of the latest read
		large  atomic.Bool  // the latest message is large
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
		m.latest.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write fails if a part of p can't be written within writeTimeout.
func (m *meter) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := m.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := m.Conn.Write(p[:min(len(p), writeChunk)])
		written, p = written+n, p[n:]
		if err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// receiving reports whether a large message is arriving, or has just arrived.
func (m *meter) receiving() bool {
	return m.large.Load() && time.Since(time.Unix(0, m.latest.Load())) < recent
}

func newConn(c net.Conn, h jsonrpc2.Handler) (*jsonrpc2.Conn, *meter) {
	m := &meter{Conn: c}
	stream := jsonrpc2.NewBufferedStream(m, codec{meter: m})
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
// write blocks. When the deadline of ctx passes while a large message arrives, it
// waits until that ends.
func (l *link) call(ctx context.Context, method string, params any) (json.RawMessage, error) {
	before := l.meter.reads.Load()
	done := make(chan reply, 1)
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		var r reply
		r.err = l.conn.Call(running, method, params, &r.result)
		done <- r
	}()
	select {
	case r := <-done:
		return l.finish(r)
	case <-ctx.Done():
	}
	if eris.Is(ctx.Err(), context.DeadlineExceeded) {
		if r, ok := l.awaitTransfer(done); ok {
			return l.finish(r)
		}
	}
	l.closeIfStalled(ctx, before)
	return nil, ctx.Err()
}

// finish returns the answer to a call.
func (l *link) finish(r reply) (json.RawMessage, error) {
	if r.err == nil && l.closed() {
		return nil, eris.New("connection closed")
	}
	return r.result, r.err
}

// awaitTransfer waits for an answer while a large message is arriving.
func (l *link) awaitTransfer(done <-chan reply) (reply, bool) {
	tick := time.NewTicker(receiveCheck)
	defer tick.Stop()
	for end := time.Now().Add(maxTransfer); l.meter.receiving() && time.Now().Before(end); {
		select {
		case r := <-done:
			return r, true
		case <-tick.C:
		}
	}
	select {
	case r := <-done:
		return r, true
	default:
		return reply{}, false
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
