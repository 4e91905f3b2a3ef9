package backend

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	defaultConnectTimeout    = time.Second
	defaultWriteStallTimeout = 30 * time.Second
	defaultIdleTimeout       = 4 * time.Second
	continueTimeout          = time.Second
	aliveDelay               = 20 * time.Millisecond
	maxResponseHeaderBytes   = 64 << 10
	bufferSize               = 16 << 10
)

type (
	// Client sends requests to backend servers. The zero Client is ready for
	// use. It is safe for concurrent use; its fields must not change after the
	// first call.
	Client struct {
		// Dial connects to a server; nil means TCP with keep-alive probes.
		Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
		// ConnectTimeout limits the time to connect; 0 means 1 s.
		ConnectTimeout time.Duration
		// WriteStallTimeout is how long a write may make no progress; 0 means
		// 30 s.
		WriteStallTimeout time.Duration
		// IdleTimeout is how long an unused connection is kept; 0 means 4 s,
		// which is shorter than the usual idle timeout of servers.
		IdleTimeout time.Duration
		// Entries is how many entries share the connection limit of each
		// server; 0 means 1.
		Entries int

		pools sync.Map // poolKey to *serverPool
	}

	// Request is one send.
	Request struct {
		// Server is the destination.
		Server *service.Server
		// HTTP holds method, URL path and query, header, trailer, body and
		// content length. Hop-by-hop headers must have been removed.
		HTTP *http.Request
		// ID is unique among the sends of all entries.
		ID string
		// ReadStallTimeout is how long no byte may arrive once the response
		// header has arrived; 0 means no limit but that of the context.
		ReadStallTimeout time.Duration
	}

	// Response is a backend server's response. Its body ends with io.EOF only
	// if it is complete; other errors are a *SendError.
	Response struct {
		// Status is the HTTP status.
		Status int
		// Header is the header as received.
		Header http.Header
		// Length is the declared length of the body, -1 if it is unknown.
		Length int64
		// Trailer is complete once the body has been read to its end.
		Trailer http.Header
		// Body is the response body.
		Body io.Reader
		// Latency is the time until the response header arrived.
		Latency time.Duration

		exchange *exchange
		httpBody io.ReadCloser
		complete bool
	}

	// SendError describes a send that ended without a complete response.
	SendError struct {
		// Code is the result code.
		Code result.Code
		// Sent reports whether a connection accepted any byte of the request.
		Sent bool
		// ServerClosed reports whether the server closed the connection after
		// bytes had been sent to it, as happens when it crashes.
		ServerClosed bool
		// ResponseStarted reports whether any byte of a response had arrived.
		ResponseStarted bool
		// PendingClose is the pending close of the connection; nil if nothing
		// was sent.
		PendingClose *PendingClose
		// Err is the cause.
		Err error
	}

	// poolKey identifies a pool. A server whose limits change gets a new one.
	poolKey struct {
		addr               netip.AddrPort
		slots, connections int
	}

	// serverPool holds the connections to one server. echoesSendID is set once
	// the server has echoed the ID of a send.
	serverPool struct {
		keepAlive, singleUse *http.Transport
		echoesSendID         atomic.Bool
	}

	// exchange is one request and its response on a connection.
	// writtenBefore and receivedBefore are the byte counts of the connection
	// at its start.
	exchange struct {
		cancel         context.CancelCauseFunc
		ctx            context.Context
		conn           atomic.Pointer[conn]
		writtenBefore  int64
		receivedBefore int64
		body           *requestBody

		mu         sync.Mutex
		stallTimer *time.Timer
	}
)

// Causes of failed sends.
var (
	errStalled         = errors.New("connection stalled")
	errInvalidResponse = errors.New("invalid response")
)

// Error formats the error with its code.
func (e *SendError) Error() string {
	return "send ended with code " + e.Code.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Send sends the request and returns the response once its header has arrived.
// The error is a *SendError. The response must be closed.
func (c *Client) Send(ctx context.Context, req *Request) (*Response, error) {
	p := c.pool(req.Server)
	if p.echoesSendID.Load() && canUseKeepAlive(req.HTTP) {
		resp, err := p.send(ctx, req, p.keepAlive)
		var failed *SendError
		if !errors.As(err, &failed) || failed.Code != result.ConnectFailed {
			return resp, err
		}
		// The kept connection was closed before it accepted any byte.
	}
	return p.send(ctx, req, p.singleUse)
}

func (p *serverPool) send(ctx context.Context, req *Request, t *http.Transport) (*Response, error) {
	e := &exchange{}
	e.ctx, e.cancel = context.WithCancelCause(ctx)
	out := e.prepare(ctx, req)
	started := time.Now()
	resp, err := t.RoundTrip(out)
	if err != nil {
		return nil, e.fail(err)
	}
	if err := e.validateResponse(resp, req.ID, p); err != nil {
		_ = resp.Body.Close()
		return nil, e.fail(err)
	}
	if shed(resp) {
		_ = resp.Body.Close()
		e.stop()
		return nil, &SendError{Code: result.ShedByServer, Sent: true, Err: errors.New("shed by server")}
	}
	r := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Trailer: resp.Trailer,
		Latency: time.Since(started), exchange: e, httpBody: resp.Body,
	}
	r.Body = &responseBody{response: r, http: resp}
	e.watchResponse(req.ReadStallTimeout)
	return r, nil
}

// Close releases the response. If the response is incomplete, Close closes the
// connection, which cancels the request at the backend server, and returns the
// pending close; otherwise it returns nil.
func (r *Response) Close() *PendingClose {
	_ = r.httpBody.Close()
	r.exchange.stop()
	if c := r.exchange.conn.Load(); c != nil && !r.complete {
		_ = c.Close()
		return &c.pending
	}
	return nil
}

// CloseIdleTo closes the idle connections to one server.
func (c *Client) CloseIdleTo(server *service.Server) { c.pool(server).keepAlive.CloseIdleConnections() }

// Alive reports whether the server accepts a new connection, aliveDelay after
// the call. It is called when the server has just closed another connection.
func (c *Client) Alive(ctx context.Context, server *service.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveDelay+orDefault(c.ConnectTimeout, defaultConnectTimeout))
	defer cancel()
	select {
	case <-time.After(aliveDelay):
	case <-ctx.Done():
		return false
	}
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, server.Address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// CloseIdle closes the idle connections to all servers.
func (c *Client) CloseIdle() {
	c.pools.Range(func(_, v any) bool {
		if p, ok := v.(*serverPool); ok {
			p.keepAlive.CloseIdleConnections()
		}
		return true
	})
}

func (c *Client) pool(server *service.Server) *serverPool {
	key := poolKey{server.Address, server.Slots, server.Connections}
	if v, ok := c.pools.Load(key); ok {
		if p, ok := v.(*serverPool); ok {
			return p
		}
	}
	limit := max(server.Connections/max(c.Entries, 1), 2)
	p := &serverPool{keepAlive: c.transport(server, limit/2), singleUse: c.transport(server, limit-limit/2)}
	p.singleUse.DisableKeepAlives = true
	v, _ := c.pools.LoadOrStore(key, p)
	if stored, ok := v.(*serverPool); ok {
		return stored
	}
	return p
}

func (c *Client) transport(server *service.Server, limit int) *http.Transport {
	addr, dial := server.Address, c.Dial
	if dial == nil {
		dial = dialTCP
	}
	stall := orDefault(c.WriteStallTimeout, defaultWriteStallTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, orDefault(c.ConnectTimeout, defaultConnectTimeout))
			defer cancel()
			raw, err := dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: raw, writeStallTimeout: stall, pending: PendingClose{done: make(chan struct{})}}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    max(server.Slots, 1),
		IdleConnTimeout:        orDefault(c.IdleTimeout, defaultIdleTimeout),
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
}

// canUseKeepAlive reports whether a request may use a kept connection.
func canUseKeepAlive(req *http.Request) bool {
	bare := req.Body == nil || req.Body == http.NoBody
	return bare && (req.Method == http.MethodGet || req.Method == http.MethodHead)
}

func (e *exchange) prepare(parent context.Context, req *Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { e.useConn(info.Conn) }}
	out := req.HTTP.Clone(httptrace.WithClientTrace(e.ctx, trace))
	out.Trailer = req.HTTP.Trailer
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", req.Server.Address.String()
	out.Header.Set(result.HeaderSend, req.ID)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "")
	}
	if deadline, ok := parent.Deadline(); ok {
		out.Header.Set(result.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	bare := req.HTTP.Body == nil || req.HTTP.Body == http.NoBody
	e.body = &requestBody{}
	switch m := req.HTTP.Method; {
	case !bare:
		e.body.src = req.HTTP.Body
		out.Body = e.body
	case m == http.MethodGet || m == http.MethodHead:
		// A non-nil body, empty or not, keeps http.Transport from retrying the
		// request by itself.
		out.Body, out.ContentLength = e.body, 0
	default:
		out.Body = http.NoBody
	}
	return out
}

// useConn records the connection that carries the request, and starts to watch
// its writes for stalls.
func (e *exchange) useConn(raw net.Conn) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	e.writtenBefore, e.receivedBefore = c.written.Load(), c.received.Load()
	e.conn.Store(c)
	c.restartStallClock(0)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stallTimer = time.AfterFunc(c.nextStallCheck(), func() { e.checkStall(c) })
}

// watchResponse applies the read stall timeout from now on.
func (e *exchange) watchResponse(readStallTimeout time.Duration) {
	c := e.conn.Load()
	if c == nil || readStallTimeout == 0 {
		return
	}
	c.restartStallClock(readStallTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stallTimer.Reset(c.nextStallCheck())
}

// checkStall cancels the exchange if its connection has stalled, and schedules
// the next check otherwise.
func (e *exchange) checkStall(c *conn) {
	if e.ctx.Err() != nil {
		return
	}
	if c.isStalled() {
		e.cancel(errStalled)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stallTimer.Reset(c.nextStallCheck())
}

// validateResponse returns an error for a response that must not be returned:
// it belongs to another send, or its end can't be detected.
func (e *exchange) validateResponse(resp *http.Response, sendID string, p *serverPool) error {
	got := resp.Header.Get(result.HeaderSend)
	switch {
	case got != "" && got != sendID:
		return fmt.Errorf("%w: it has the ID of another send", errInvalidResponse)
	case got == "" && p.echoesSendID.Load():
		return fmt.Errorf("%w: it has no send ID", errInvalidResponse)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: it switches protocols", errInvalidResponse)
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody:
		return fmt.Errorf("%w: it has neither a length nor chunked encoding", errInvalidResponse)
	}
	if got != "" {
		p.echoesSendID.Store(true)
	}
	return nil
}

func shed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(result.HeaderShed) == "1"
}

// fail stops the exchange and classifies err.
func (e *exchange) fail(err error) *SendError {
	cause := context.Cause(e.ctx)
	e.stop()
	sent := e.closeAndReportSent()
	code := e.code(err, cause, sent)
	return &SendError{PendingClose: e.pendingClose(sent), Code: code, Sent: sent, ServerClosed: code == result.AnswerCut && !errors.Is(err, errInvalidResponse), ResponseStarted: e.responseStarted(), Err: err}
}

func (e *exchange) code(err, cause error, sent bool) result.Code {
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return choose(sent, result.AnswerLate, result.DeadlinePassed)
	case errors.Is(cause, errStalled):
		return choose(sent, result.ConnectionSilent, result.ConnectFailed)
	case cause != nil, e.body.readError() != nil:
		return choose(sent, result.CallerGone, result.CallerLeft)
	case !sent:
		return result.ConnectFailed
	case isKernelTimeout(err):
		return result.ConnectionSilent
	default:
		return result.AnswerCut
	}
}

// isKernelTimeout reports whether the kernel closed the connection because the
// peer no longer acknowledged data.
func isKernelTimeout(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, os.ErrDeadlineExceeded)
}

// closeAndReportSent closes the connection and reports whether it accepted any
// byte of the request.
func (e *exchange) closeAndReportSent() bool {
	c := e.conn.Load()
	return c != nil && c.closeAndCountWritten() > e.writtenBefore
}

// pendingClose returns the pending close of the connection, on which Close has
// been called; nil if nothing was sent.
func (e *exchange) pendingClose(sent bool) *PendingClose {
	c := e.conn.Load()
	if c == nil || !sent {
		return nil
	}
	return &c.pending
}

func (e *exchange) responseStarted() bool {
	c := e.conn.Load()
	return c != nil && c.received.Load() > e.receivedBefore
}

func (e *exchange) stop() {
	e.cancel(context.Canceled)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stallTimer != nil {
		e.stallTimer.Stop()
	}
}

func choose(cond bool, yes, no result.Code) result.Code {
	if cond {
		return yes
	}
	return no
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}
