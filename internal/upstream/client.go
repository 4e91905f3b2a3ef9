// Package upstream is an HTTP/1.1 client with a connection pool that sends one
// request to one backend server, once, and reports the outcome.
//
// It never retries by itself. Answers are matched to requests by the request id,
// since servers may answer twice, late, or without a content length. Answers to
// earlier requests are skipped; a connection on which one, or bytes outside any
// answer, were received is not reused. Nor is one after an answer without an id, and a
// request whose id the server has answered with a failure before gets a new connection: that
// answer, written once more, couldn't be told from the next one.
//
// A [SendError] reports whether any byte of the request was written to a
// connection. Only if none was, the request provably did not run.
//
// # Usage
//
//	c := &upstream.Client{ConnectTimeout: 300 * time.Millisecond, RequestID: "X-Request-Id"}
//	ans, err := c.Send(ctx, &upstream.Request{Server: "i-1", Address: addr, HTTP: r, ID: reqID})
//	if err != nil {
//		return err // a *upstream.SendError
//	}
//	defer ans.Close()
//	body, err := io.ReadAll(ans.Body)
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shallotpier/shallotpier/internal/sockopt"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	// maxStrayAnswers is how many answers to other requests are skipped before
	// the send fails.
	maxStrayAnswers = 4
	// maxStrayBody bounds the body of a skipped answer in bytes, as sent.
	maxStrayBody = 1 << 20
	// maxHeadBytes bounds what is read on a connection until the end of an answer's
	// head, interim responses included, in bytes. It is the limit for the heads of
	// callers' requests.
	maxHeadBytes = 64 << 10
	// bufferSize is the size of a connection's read and write buffers in bytes,
	// about one answer.
	bufferSize = 4 << 10
	// maxInlineBody is the longest body in bytes that is written before the
	// answer is read rather than concurrently; it fits in the smallest socket
	// buffers, so that the write doesn't block.
	maxInlineBody = 4 << 10
	// unackedTimeout is how long the kernel waits for the acknowledgement of data
	// or keepalive probes before it aborts a connection: three retransmissions
	// between regions. It is longer while a long body is sent, see acceptTimeout.
	unackedTimeout = 600 * time.Millisecond
	// acceptTimeout is how long after its answer a server may take the rest of a body, and
	// how long after the deadline the kernel waits for it to take any.
	acceptTimeout = 5 * time.Second
	// keepaliveInterval is the time before and between TCP keepalive probes on an
	// idle connection, the shortest that kernels accept.
	keepaliveInterval = time.Second
	// resetReportTimeout is how long the end of an answer without a length waits for the
	// writer of the request's body to fail, where the kernel can't tell a reset otherwise.
	resetReportTimeout = 100 * time.Millisecond
	// maxStatus is the highest status of an answer.
	maxStatus = 599
	// maxErrorText is the length of the longest text of an error in bytes.
	maxErrorText = 100
	// idleCheckInterval is how often an idle connection is checked for unread bytes.
	idleCheckInterval = time.Second
	// idleMargin is how long before the idle timeout announced by the server a
	// connection is closed.
	idleMargin = time.Second
)

type (
	// Client sends requests over pooled connections. It is safe for concurrent
	// use; its fields must not change after the first call.
	Client struct {
		// Dial connects to a server; nil uses TCP.
		Dial func(ctx context.Context, address string) (net.Conn, error)
		// ConnectTimeout bounds the time to connect.
		ConnectTimeout time.Duration
		// IdleTimeout is how long an idle connection may be reused for idempotent
		// requests.
		IdleTimeout time.Duration
		// NonIdempotentIdleTimeout is how long an idle connection may be reused
		// for other requests. It should be shorter: if the server has closed the
		// connection and the entry has not noticed, the outcome of the request is
		// unknown.
		NonIdempotentIdleTimeout time.Duration
		// RequestIDHeader is the name of the header that holds the request's id, in
		// requests and in answers.
		RequestIDHeader string

		mu   sync.Mutex
		idle map[string][]*conn
		// sending counts the bodies that are sent after their answer.
		sending sync.WaitGroup
		// failed holds, by address, the ids of requests that servers answered with a failure.
		failed map[string]*recentIDs
	}

	// Request is one request to one server.
	Request struct {
		// Server is the backend server's name.
		Server id.Server
		// Address is its IP address and port.
		Address string
		// HTTP holds method, URL, host, header, body and content length.
		// Hop-by-hop headers must have been removed.
		HTTP *http.Request
		// ID is the request's id, which the server repeats in its answer.
		ID string
		// Idempotent is set if the request may run more than once.
		Idempotent bool
		// BodyKept is set if the body can be read after the answer was closed.
		BodyKept bool
		// Interim, unless nil, is called with the header of each interim answer.
		Interim func(http.Header)
		// Undelivered, unless nil, is called if the server has answered with a success and
		// the rest of the body couldn't be delivered, perhaps after the answer was closed.
		Undelivered func(error)
	}

	// Answer is a backend server's answer. Its body ends with io.EOF only if it
	// was received completely.
	Answer struct {
		// Status is the HTTP status.
		Status int
		// Header is the header as received.
		Header http.Header
		// Length is the content length, -1 if there is none.
		Length int64
		// Body is the answer's body; its errors are *SendError.
		Body io.Reader
		// Latency is the time from the start of the send to the answer's header.
		Latency time.Duration
		// Connect is the part of it that a new connection took, 0 if an open one was used.
		Connect time.Duration
		// Certain is set if the answer belongs to the request for certain: it carries the
		// request's id, or is the first one on its connection.
		Certain bool

		exchange *exchange
	}

	// SendError reports a send that ended without a complete answer.
	SendError struct {
		// Code is the result code.
		Code result.Code
		// Sent reports whether any byte of the request was written to a
		// connection.
		Sent bool
		// Err is the cause.
		Err error
	}

	// exchange is the state of one request on its connection.
	exchange struct {
		client      *Client
		conn        *conn
		request     *Request
		ctx         context.Context
		resp        *http.Response
		stopCancel  func() bool
		written     chan error
		body        *requestBody
		answered    atomic.Bool
		startOffset int64
		complete    bool
		strays      int
		once        sync.Once
	}

	conn struct {
		net.Conn
		address   string
		read      *bufio.Reader
		readLimit int64 // number of bytes that may still be read
		write     *bufio.Writer
		wrote     atomic.Int64
		// unackedLimit is how long the kernel waits for acknowledgements.
		unackedLimit time.Duration
		lastUsed     time.Time
		lastCheck    time.Time // while idle
		idleTimeout  time.Duration
	}

	body struct {
		exchange *exchange
		src      io.Reader
	}

	// longError is an error whose text is too long for a log line.
	longError struct{ error }
)

var (
	errInvalidAnswer = errors.New("invalid answer")
	errTooLong       = errors.New("answer without end")
	errReset         = errors.New("connection reset while the request was written")
)

// Error returns the code and the cause.
func (e *SendError) Error() string {
	return "send failed with code " + e.Code.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Read reads from the connection, as many bytes as limitReads allows.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.readLimit)])
	c.readLimit -= int64(n)
	return n, err
}

// limitReads sets the number of bytes that may be read beyond those in the buffer.
func (c *conn) limitReads(n int64) { c.readLimit = n }

// Write writes to the connection and counts the bytes written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wrote.Add(int64(n))
	return n, err
}

// Send sends the request and returns the answer once its header has been received.
// The error is a *SendError. The caller must close the answer.
func (c *Client) Send(ctx context.Context, req *Request) (*Answer, error) {
	start := time.Now()
	connected := time.Duration(0)
	cn := c.get(req)
	if cn == nil {
		var err error
		if cn, err = c.connect(ctx, req.Address); err != nil {
			return nil, &SendError{Code: connectCode(ctx), Err: err}
		}
		connected = time.Since(start)
	}
	x := &exchange{
		client: c, conn: cn, request: req, ctx: ctx, startOffset: cn.wrote.Load(), written: make(chan error, 1),
		body: &requestBody{ReadCloser: req.HTTP.Body},
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = cn.SetDeadline(deadline)
	}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	if err := x.writeRequest(); err != nil {
		return nil, x.fail(err)
	}
	if err := x.readAnswer(); err != nil {
		return nil, x.fail(err)
	}
	a := &Answer{
		Status: x.resp.StatusCode, Header: x.resp.Header, Length: x.resp.ContentLength,
		Latency: time.Since(start), Connect: connected, Certain: x.hasID() || x.startOffset == 0 && x.strays == 0, exchange: x,
	}
	a.Body = &body{exchange: x, src: x.resp.Body}
	return a, nil
}

// Close releases the answer's connection. If the answer was not received
// completely, the connection is closed, which cancels the request at most backend
// servers.
//
// If the server has answered with a success before it has taken all of the request's body,
// the rest is still sent, for a few seconds at most. Close waits for that unless
// [Request.BodyKept] is set.
func (a *Answer) Close() { a.exchange.close() }

// Wait waits until no body is being sent after its answer, or ctx ends.
func (c *Client) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.sending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// CloseIdle closes the pooled connections whose idle timeout has passed, and those that the
// server has closed or has sent bytes on.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if cn.staysIdle(now) {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
	maps.DeleteFunc(c.failed, func(_ string, ids *recentIDs) bool { return ids.expired(now) })
}

// CanConnect reports whether a server accepts a new connection, which is then added
// to the pool.
func (c *Client) CanConnect(ctx context.Context, address string) bool {
	cn, err := c.connect(ctx, address)
	if err != nil {
		return false
	}
	c.put(cn)
	return true
}

// HasOpen reports whether an idle connection to a server is open, which a server that has
// crashed has closed. Those that aren't are dropped.
func (c *Client) HasOpen(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for len(list) > 0 && !list[len(list)-1].usable() {
		_ = list[len(list)-1].Close()
		list = list[:len(list)-1]
	}
	if len(list) == 0 {
		delete(c.idle, address)
		return false
	}
	c.idle[address] = list
	return true
}

func connectCode(ctx context.Context) result.Code {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.DeadlinePassed
	case ctx.Err() != nil:
		return result.CallerLeft
	default:
		return result.ConnectFailed
	}
}

func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.ConnectTimeout)
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: raw, address: address, unackedLimit: unackedTimeout, idleTimeout: c.IdleTimeout}
	cn.read, cn.write = bufio.NewReaderSize(cn, bufferSize), bufio.NewWriterSize(cn, bufferSize)
	return cn, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Control:         sockopt.LimitUnacked(unackedTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepaliveInterval, Interval: keepaliveInterval, Count: 1},
	}
	return d.DialContext(ctx, "tcp", address)
}

// get removes the most recently used connection from the pool and returns it. It
// returns nil if there is none that the request may use.
func (c *Client) get(req *Request) *conn {
	limit := c.IdleTimeout
	if !req.Idempotent {
		limit = c.NonIdempotentIdleTimeout
	}
	for {
		cn := c.pop(req.Address, limit, req.ID)
		if cn == nil {
			return nil
		}
		if cn.usable() {
			return cn
		}
		_ = cn.Close()
	}
}

// pop returns nil for requests whose answer could be taken for one that the server has given
// before: those without an id, and those whose id it has answered with a failure.
func (c *Client) pop(address string, limit time.Duration, reqID string) *conn {
	if reqID == "" {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 || c.failed[address].contains(reqID) {
		return nil
	}
	cn := list[len(list)-1]
	if time.Since(cn.lastUsed) >= min(limit, cn.idleTimeout) {
		return nil
	}
	c.idle[address] = list[:len(list)-1]
	return cn
}

// recordFailure records that the server at an address has answered a request with a failure.
func (c *Client) recordFailure(address, reqID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = make(map[string]*recentIDs)
	}
	if c.failed[address] == nil {
		c.failed[address] = &recentIDs{}
	}
	c.failed[address].add(time.Now(), reqID)
}

func (c *Client) put(cn *conn) {
	_ = cn.SetDeadline(time.Time{})
	cn.limitUnacked(unackedTimeout)
	cn.lastUsed = time.Now()
	cn.lastCheck = cn.lastUsed
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*conn)
	}
	c.idle[cn.address] = append(c.idle[cn.address], cn)
}

// staysIdle reports whether an idle connection may be kept.
func (c *conn) staysIdle(now time.Time) bool {
	if now.Sub(c.lastUsed) >= c.idleTimeout {
		return false
	}
	if now.Sub(c.lastCheck) < idleCheckInterval {
		return true
	}
	c.lastCheck = now
	return c.usable()
}

// usable reports whether the connection is open and has no unread bytes.
func (c *conn) usable() bool {
	if c.read.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	drained := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		drained = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && drained
}

// writeRequest writes the request. A long body is written concurrently with reading
// the answer, since a server may answer before it has read the body.
func (x *exchange) writeRequest() error {
	long := x.request.HTTP.Body != nil && x.request.HTTP.Body != http.NoBody &&
		(x.request.HTTP.ContentLength < 0 || x.request.HTTP.ContentLength > maxInlineBody)
	if !long {
		x.written <- nil
		return x.conn.send(x.request.HTTP)
	}
	limit := unackedTimeout
	if deadline, ok := x.ctx.Deadline(); ok {
		limit = max(limit, time.Until(deadline))
	}
	x.conn.limitUnacked(limit + acceptTimeout)
	go func() { x.written <- x.sendBody() }()
	return nil
}

// limitUnacked sets how long the kernel waits for the server to take data. A server at work on
// a request may leave the rest of its body unread for as long as that takes.
func (c *conn) limitUnacked(limit time.Duration) {
	if c.unackedLimit == limit {
		return
	}
	c.unackedLimit = limit
	if sc, ok := c.Conn.(syscall.Conn); ok {
		_ = sockopt.SetUnackedLimit(sc, limit)
	}
}

func (c *conn) send(r *http.Request) error {
	if err := r.Write(c.write); err != nil {
		return err
	}
	return c.write.Flush()
}

// readAnswer reads up to and including the header of the request's answer. It skips
// interim responses and answers to other requests.
func (x *exchange) readAnswer() error {
	x.conn.limitReads(maxHeadBytes)
	for {
		resp, err := http.ReadResponse(x.conn.read, x.request.HTTP)
		switch {
		case errors.Is(err, errTooLong):
			return fmt.Errorf("%w: got %d bytes of heads without the end of one", err, maxHeadBytes)
		case err != nil:
			return err
		}
		got := resp.Header.Get(x.client.RequestIDHeader)
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return fmt.Errorf("%w: switching protocols is not supported", errInvalidAnswer)
		case resp.StatusCode < http.StatusContinue, resp.StatusCode > maxStatus:
			// Not an interim one either: its body would be read as the next answer.
			return fmt.Errorf("%w: status %03d", errInvalidAnswer, resp.StatusCode)
		case resp.StatusCode < http.StatusOK:
			if x.request.Interim != nil {
				x.request.Interim(resp.Header)
			}
			continue
		case got == x.request.ID, got == "" && resp.StatusCode >= http.StatusMultipleChoices:
			x.resp = resp
			x.conn.limitReads(math.MaxInt64)
			x.answered.Store(true)
			if resp.StatusCode >= http.StatusMultipleChoices && x.request.ID != "" {
				x.client.recordFailure(x.request.Address, x.request.ID)
			}
			return nil
		case got == "":
			return fmt.Errorf("%w: no request id", errInvalidAnswer)
		}
		if x.strays++; x.strays > maxStrayAnswers {
			return fmt.Errorf("%w: belongs to request %q", errInvalidAnswer, got)
		}
		x.conn.limitReads(maxStrayBody)
		switch _, err := io.Copy(io.Discard, resp.Body); {
		case errors.Is(err, errTooLong):
			return fmt.Errorf("%w: got %d bytes of the answer to request %q without its end", err, maxStrayBody, got)
		case err != nil:
			return err
		}
		x.conn.limitReads(maxHeadBytes)
	}
}

// fail closes the connection and returns err with its result code.
func (x *exchange) fail(err error) *SendError {
	cause := x.ctx.Err()
	if cause == nil {
		cause = x.body.failure()
	}
	x.close()
	sent := x.conn.wrote.Load() > x.startOffset
	if !sent {
		// Wait for the concurrent writer, so that all bytes written are counted.
		// Later on it may be waiting for the caller to send more of the body.
		x.written <- <-x.written
		sent = x.conn.wrote.Load() > x.startOffset
	}
	return &SendError{Code: failCode(err, cause, sent), Sent: sent, Err: shorten(err)}
}

// shorten returns an error with a text of bounded length. That of a parser may quote a
// long line of the server's.
func shorten(err error) error {
	if len(err.Error()) <= maxErrorText {
		return err
	}
	return longError{err}
}

// Error returns the start of the error's text.
func (e longError) Error() string {
	text := e.error.Error()
	return fmt.Sprintf("%.*q, %d bytes in all", maxErrorText, text, len(text))
}

// Unwrap returns the whole error.
func (e longError) Unwrap() error { return e.error }

func failCode(err, cause error, sent bool) result.Code {
	switch {
	case cause == nil && sent && errors.Is(err, syscall.ETIMEDOUT):
		// The kernel aborted the connection because data was not acknowledged.
		return result.ConnectionSilent
	case errors.Is(cause, context.DeadlineExceeded), cause == nil && isTimeout(err):
		return choose(sent, result.AnswerLate, result.DeadlinePassed)
	case cause != nil:
		return choose(sent, result.CallerGone, result.CallerLeft)
	case !sent:
		return result.ConnectFailed
	default:
		return result.AnswerCut
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func choose(cond bool, yes, no result.Code) result.Code {
	if cond {
		return yes
	}
	return no
}

// close returns the connection to the pool if it can be reused, and closes it
// otherwise.
func (x *exchange) close() {
	x.once.Do(func() {
		canceled := !x.stopCancel()
		switch {
		case !canceled && x.acceptedEarly():
			x.sendRest()
		case !canceled && x.reusable():
			x.client.put(x.conn)
		default:
			_ = x.conn.Close()
		}
	})
}

func (x *exchange) reusable() bool {
	if !x.complete || x.strays > 0 || !x.hasID() || x.resp.Close || x.conn.read.Buffered() > 0 {
		return false
	}
	if sent, err := x.bodySent(); !sent || err != nil {
		return false
	}
	x.conn.idleTimeout = min(x.conn.idleTimeout, announcedIdle(x.resp.Header, x.conn.idleTimeout))
	return x.conn.idleTimeout > 0
}

// hasID reports whether the answer carries the request's id.
func (x *exchange) hasID() bool {
	return x.request.ID != "" && x.resp.Header.Get(x.client.RequestIDHeader) == x.request.ID
}

// Read reads the answer's body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		if err := b.exchange.endError(); err != nil {
			return n, b.exchange.fail(fmt.Errorf("answer without a length: %w", err))
		}
		b.exchange.complete = true
		return n, io.EOF
	default:
		return n, b.exchange.fail(err)
	}
}
