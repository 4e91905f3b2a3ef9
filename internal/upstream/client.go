// Package upstream sends one request to one backend server over HTTP/1.1, once,
// on a connection that it keeps, and says what became of it.
//
// It never sends a request again by itself. An answer is told from others by the
// id of its request: servers may answer twice, late, or without an announced
// end. Answers to earlier requests are skipped; a connection that carried one, or
// bytes that belong to no answer, isn't used again.
//
// A send that fails says whether any byte of the request was taken by a
// connection; only if none was did the request provably not run.
//
// # Usage
//
//	c := &upstream.Client{Connect: 300 * time.Millisecond, Headers: names}
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
	// maxStrays is how many answers to other requests are skipped before a
	// connection is given up.
	maxStrays = 4
	// strayBytes bounds the body of an answer that is skipped.
	strayBytes = 1 << 20
	// bufferSize is that of a connection's buffers, about one answer.
	bufferSize = 4 << 10
	// inlineBody is the longest body that is written before the answer is
	// read; it fits in the smallest socket buffers.
	inlineBody = 4 << 10
	// unackedTime is how long the kernel waits for the acknowledgement of bytes
	// or probes before it ends a connection: three retransmissions between
	// regions.
	unackedTime = 600 * time.Millisecond
	// probeTime is the pause before and between probes of a connection on which
	// nothing moves, the least that kernels take.
	probeTime = time.Second
	// idleMargin is how much sooner than the server's announced idle timeout a
	// connection is given up.
	idleMargin = time.Second
)

type (
	// Client sends requests. It is safe for concurrent use; its fields must not
	// change after the first call.
	Client struct {
		// Dial connects to a server; nil is TCP.
		Dial func(ctx context.Context, address string) (net.Conn, error)
		// Connect is the longest time to connect.
		Connect time.Duration
		// Idle is how long an unused connection is kept for requests that may
		// be sent again.
		Idle time.Duration
		// IdleOnce is how long an unused connection is kept for requests that
		// may not: a server that closed it unnoticed leaves their outcome
		// unknown.
		IdleOnce time.Duration
		// RequestID names the header that holds the request's id, in requests
		// and in answers.
		RequestID string

		mu   sync.Mutex
		idle map[string][]*conn
	}

	// Request is one send.
	Request struct {
		// Server is the backend server's name.
		Server id.Server
		// Address is its IP address and port.
		Address string
		// HTTP holds method, URL, host, header, body and content length.
		// Hop-by-hop headers must have been removed.
		HTTP *http.Request
		// ID is the request's id, which the server repeats.
		ID string
		// Repeatable tells that the request may run more than once.
		Repeatable bool
	}

	// Answer is a backend server's answer. Its body ends with io.EOF only if it
	// came whole.
	Answer struct {
		// Status is the HTTP status.
		Status int
		// Header is the header as it came.
		Header http.Header
		// Length is the announced length of the body, -1 if none is.
		Length int64
		// Body is the answer's body; its errors are *SendError.
		Body io.Reader
		// Latency is the time to the answer's header.
		Latency time.Duration

		exchange *exchange
	}

	// SendError says how a send ended without a whole answer.
	SendError struct {
		// Code is the numbered outcome.
		Code result.Code
		// Sent tells whether any byte of the request was taken by a
		// connection.
		Sent bool
		// Err is the cause.
		Err error
	}

	// exchange is one request on its connection.
	exchange struct {
		client  *Client
		conn    *conn
		request *Request
		ctx     context.Context
		resp    *http.Response
		stop    func() bool
		written chan error
		base    int64
		whole   bool
		strays  int
		once    sync.Once
	}

	conn struct {
		net.Conn
		address string
		read    *bufio.Reader
		write   *bufio.Writer
		wrote   atomic.Int64
		used    time.Time
		keep    time.Duration
	}

	body struct {
		exchange *exchange
		src      io.Reader
	}
)

var errUnfit = errors.New("answer can't be trusted")

// Error formats the error with its code.
func (e *SendError) Error() string {
	return "send ended with code " + e.Code.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Write counts what the connection took.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wrote.Add(int64(n))
	return n, err
}

// Send sends the request and returns the answer once its header has come. The
// error is a *SendError. The answer must be closed.
func (c *Client) Send(ctx context.Context, req *Request) (*Answer, error) {
	began := time.Now()
	cn := c.take(req)
	if cn == nil {
		var err error
		if cn, err = c.connect(ctx, req.Address); err != nil {
			return nil, &SendError{Code: connectCode(ctx), Err: err}
		}
	}
	x := &exchange{client: c, conn: cn, request: req, ctx: ctx, base: cn.wrote.Load(), written: make(chan error, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		_ = cn.SetDeadline(deadline)
	}
	x.stop = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	if err := x.write(); err != nil {
		return nil, x.fail(err)
	}
	if err := x.answer(); err != nil {
		return nil, x.fail(err)
	}
	a := &Answer{
		Status: x.resp.StatusCode, Header: x.resp.Header, Length: x.resp.ContentLength,
		Latency: time.Since(began), exchange: x,
	}
	a.Body = &body{exchange: x, src: x.resp.Body}
	return a, nil
}

// Close ends the answer. A connection whose answer has not come whole is
// closed, which cancels the request at most backend servers.
func (a *Answer) Close() { a.exchange.close() }

// CloseIdle closes the connections that no request is using and that have been
// kept for too long.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Sub(cn.used) < cn.keep {
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
}

// Alive tells whether a server takes a new connection.
func (c *Client) Alive(ctx context.Context, address string) bool {
	cn, err := c.connect(ctx, address)
	if err != nil {
		return false
	}
	c.put(cn)
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
	ctx, cancel := context.WithTimeout(ctx, c.Connect)
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: raw, address: address, keep: c.Idle}
	cn.read, cn.write = bufio.NewReaderSize(raw, bufferSize), bufio.NewWriterSize(cn, bufferSize)
	return cn, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Control:         sockopt.LimitUnacked(unackedTime),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeTime, Interval: probeTime, Count: 1},
	}
	return d.DialContext(ctx, "tcp", address)
}

// take returns the connection that was used last, if it is fit for the request.
func (c *Client) take(req *Request) *conn {
	limit := c.Idle
	if !req.Repeatable {
		limit = c.IdleOnce
	}
	for {
		cn := c.pop(req.Address, limit)
		if cn == nil {
			return nil
		}
		if cn.quiet() {
			return cn
		}
		_ = cn.Close()
	}
}

func (c *Client) pop(address string, limit time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	if time.Since(cn.used) >= min(limit, cn.keep) {
		return nil
	}
	c.idle[address] = list[:len(list)-1]
	return cn
}

func (c *Client) put(cn *conn) {
	_ = cn.SetDeadline(time.Time{})
	cn.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*conn)
	}
	c.idle[cn.address] = append(c.idle[cn.address], cn)
}

// quiet tells whether the connection is open and has no bytes in waiting.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		quiet = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// write sends the request, a long body beside the reading of the answer.
func (x *exchange) write() error {
	long := x.request.HTTP.Body != nil && x.request.HTTP.Body != http.NoBody &&
		(x.request.HTTP.ContentLength < 0 || x.request.HTTP.ContentLength > inlineBody)
	if !long {
		x.written <- nil
		return x.conn.send(x.request.HTTP)
	}
	go func() { x.written <- x.conn.send(x.request.HTTP) }()
	return nil
}

func (c *conn) send(r *http.Request) error {
	if err := r.Write(c.write); err != nil {
		return err
	}
	return c.write.Flush()
}

// answer reads up to the header of the request's answer.
func (x *exchange) answer() error {
	for {
		resp, err := http.ReadResponse(x.conn.read, x.request.HTTP)
		if err != nil {
			return err
		}
		got := resp.Header.Get(x.client.RequestID)
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return fmt.Errorf("%w: it switches protocols", errUnfit)
		case resp.StatusCode < http.StatusOK:
			continue
		case got == x.request.ID, got == "" && resp.StatusCode >= http.StatusMultipleChoices:
			x.resp = resp
			return nil
		case got == "":
			return fmt.Errorf("%w: it has no request id", errUnfit)
		}
		if x.strays++; x.strays > maxStrays {
			return fmt.Errorf("%w: it belongs to request %q", errUnfit, got)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes))
		if err != nil {
			return err
		}
		if n == strayBytes {
			return fmt.Errorf("%w: it belongs to request %q", errUnfit, got)
		}
	}
}

// fail ends the exchange and classifies err.
func (x *exchange) fail(err error) *SendError {
	cause := x.ctx.Err()
	x.close()
	// A body that is still being written counts until its writer has ended.
	x.written <- <-x.written
	sent := x.conn.wrote.Load() > x.base
	return &SendError{Code: failCode(err, cause, sent), Sent: sent, Err: err}
}

func failCode(err, cause error, sent bool) result.Code {
	switch {
	case cause == nil && sent && errors.Is(err, syscall.ETIMEDOUT):
		// The kernel ended a connection whose bytes were not acknowledged.
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

// close gives the connection back if nothing is left on it, and closes it
// otherwise.
func (x *exchange) close() {
	x.once.Do(func() {
		canceled := !x.stop()
		if canceled || !x.reusable() {
			_ = x.conn.Close()
			return
		}
		x.client.put(x.conn)
	})
}

func (x *exchange) reusable() bool {
	if !x.whole || x.strays > 0 || x.resp.Close || x.conn.read.Buffered() > 0 {
		return false
	}
	select {
	case err := <-x.written:
		if err != nil {
			return false
		}
	default:
		// The server answered before it had read the whole body.
		return false
	}
	x.conn.keep = min(x.conn.keep, announcedIdle(x.resp.Header, x.conn.keep))
	return x.conn.keep > 0
}

// Read reads the answer's body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		b.exchange.whole = true
		return n, io.EOF
	default:
		return n, b.exchange.fail(err)
	}
}
