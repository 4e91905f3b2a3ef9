package pipeline

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxConcurrent is the maximum number of requests of a connection that are handled
	// at the same time.
	maxConcurrent = 16
	// maxWaiting bounds the bytes of a connection's requests that wait to be handled: one
	// head of the greatest length.
	maxWaiting = 64 << 10
	// maxHeld bounds the bytes of a connection's answers that wait for those before them:
	// the longest answer that is complete before it is forwarded, with its head.
	maxHeld = 320 << 10
	// heldWriteTimeout is how long it may take to write the bytes of an answer that had
	// to wait. Its handler may have returned, so that nothing else limits the time.
	heldWriteTimeout = 30 * time.Second
	// maxIdleHead bounds the buffer for a head that an idle connection keeps, in bytes.
	maxIdleHead = 2 << 10
	// lingerTimeout is how long a connection is read after its last answer: closing it
	// while requests arrive would reset it, and the caller might lose the answer.
	lingerTimeout = time.Second
	// laneBacklog is how many new lanes may wait for net/http to accept them.
	laneBacklog = 256
	// settleInterval is the interval of checks whether a connection has several requests
	// left.
	settleInterval = 10 * time.Millisecond
)

type (
	// Listener accepts connections from callers and splits those on which requests are
	// sent ahead. Its exported fields must not change after the first call of Accept.
	Listener struct {
		// Listener accepts the connections.
		net.Listener
		// Concurrent reports whether a request may be handled beside others of its
		// connection. It is called with the request's head alone. The handler of such a
		// request must not hijack the connection.
		Concurrent func(*http.Request) bool
		// State, unless nil, is called when a connection changes its state, as
		// [http.Server.ConnState] is. A connection with several lanes is idle if all
		// lanes are.
		State func(net.Conn, http.ConnState)
		// Metrics, unless nil, receives the counters.
		Metrics *metrics.Set
		// Log, unless nil, receives a line for each request that is rejected because its
		// head can't be read.
		Log *slog.Logger

		start    sync.Once
		accepted chan acceptance
		lanes    chan *lane
		ended    chan struct{} // closed by Close
		// headReaders holds readers for heads.
		headReaders sync.Pool

		mu     sync.Mutex
		closed bool
		// split holds the connections with several lanes.
		split map[*conn]bool
	}

	acceptance struct {
		conn net.Conn
		err  error
	}

	contextKey struct{}
)

// Accept returns the next connection or the next lane of one.
func (l *Listener) Accept() (net.Conn, error) {
	l.init()
	select {
	case a := <-l.accepted:
		if a.err != nil {
			return nil, a.err
		}
		return newConn(l, a.conn), nil
	case lane := <-l.lanes:
		return lane, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close stops listening. Connections stay open.
func (l *Listener) Close() error {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	close(l.ended)
	if err := l.Listener.Close(); !isClosed(err) {
		return err
	}
	return nil
}

// OnStateChange must be called with each change of state of a connection, as
// [http.Server.ConnState].
func (l *Listener) OnStateChange(c net.Conn, s http.ConnState) {
	if lane, ok := c.(*lane); ok {
		lane.conn.onStateChange(lane, s)
	}
}

// ConnContext makes the lane of a request known to [EndAfter], [Ahead] and [Arrived], as
// [http.Server.ConnContext].
func (*Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Settle stops accepting connections and waits until each connection has at most one
// request left that has arrived, or ctx ends. Requests on connections with several lanes
// that arrive later aren't handled. [Listener.Concurrent] must return false for all
// requests by then. A graceful shutdown of net/http makes each answer the last of its
// connection, and would so drop those behind it.
func (l *Listener) Settle(ctx context.Context) {
	l.init()
	for _, c := range l.splitConns() {
		c.settle()
	}
	_ = l.Listener.Close()
	for slices.ContainsFunc(l.splitConns(), (*conn).busy) {
		select {
		case <-time.After(settleInterval):
		case <-ctx.Done():
			return
		}
	}
}

// EndAfter ends the connection of a request after its answer and those to the requests
// behind it that have arrived. EndAfter reports whether the answer may say so. It may not if
// there are any behind it.
func EndAfter(ctx context.Context) bool {
	lane, ok := ctx.Value(contextKey{}).(*lane)
	return !ok || lane.conn.endAfter(lane)
}

// Ahead returns how many requests of the same connection were being handled when a request
// began.
func Ahead(ctx context.Context) int {
	if lane, ok := ctx.Value(contextKey{}).(*lane); ok {
		return lane.ahead()
	}
	return 0
}

// Arrived returns when the head of a request had arrived, if the request may have waited
// since then for others of its connection; now otherwise.
func Arrived(ctx context.Context, now time.Time) time.Time {
	lane, ok := ctx.Value(contextKey{}).(*lane)
	if !ok {
		return now
	}
	if at := lane.arrival(); !at.IsZero() {
		return at
	}
	return now
}

func (l *Listener) init() {
	l.start.Do(func() {
		l.accepted, l.lanes, l.ended = make(chan acceptance), make(chan *lane, laneBacklog), make(chan struct{})
		l.split = make(map[*conn]bool)
		go l.acceptAll()
	})
}

// acceptAll passes accepted connections to Accept, and errors until it is closed.
func (l *Listener) acceptAll() {
	for {
		c, err := l.Listener.Accept()
		if err != nil && isClosed(err) {
			return // Accept still returns lanes
		}
		select {
		case l.accepted <- acceptance{c, err}:
		case <-l.ended:
			if c != nil {
				_ = c.Close()
			}
			return
		}
	}
}

// open passes a new lane to Accept. It returns false if that isn't possible now.
func (l *Listener) open(n *lane) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	select {
	case l.lanes <- n:
		return true
	default:
		return false
	}
}

// setSplit records whether a connection is open that has several lanes.
func (l *Listener) setSplit(c *conn, split bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if split {
		l.split[c] = true
		return
	}
	delete(l.split, c)
}

// splitConns returns the connections with several lanes. Their locks must be taken without
// the listener's, which is taken after them elsewhere.
func (l *Listener) splitConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.split))
}

// observeRejected counts and logs an answer that net/http has given without a handler, to a
// request whose head it can't read: its head has no date.
func (l *Listener) observeRejected(c net.Conn, answer []byte) {
	const status = "HTTP/1.1 400"
	if len(answer) < len(status) || !bytes.HasPrefix(answer, []byte("HTTP/1.1 4")) || bytes.Contains(answer, []byte("\r\nDate: ")) {
		return
	}
	code := answer[len(status)-3 : len(status)]
	if l.Metrics != nil {
		l.Metrics.GetOrCreateCounter(fmt.Sprintf(`shallotpier_heads_rejected_total{status=%q}`, code)).Inc()
	}
	if l.Log != nil {
		_, reason, _ := bytes.Cut(answer, []byte(headEnd))
		l.Log.Warn("head rejected", "status", string(code), "caller", c.RemoteAddr().String(), "reason", string(reason))
	}
}

// countAhead counts a request that is handled beside others of its connection.
func (l *Listener) countAhead() {
	if l.Metrics != nil {
		l.Metrics.GetOrCreateCounter(`shallotpier_requests_pipelined_total`).Inc()
	}
}
