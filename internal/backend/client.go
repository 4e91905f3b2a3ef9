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
	defaultConnect   = time.Second
	defaultStall     = 30 * time.Second
	defaultIdle      = 4 * time.Second
	continueTimeout  = time.Second
	aliveWait        = 20 * time.Millisecond
	maxAnswerHeaders = 64 << 10
	copyBuffer       = 16 << 10
)

type (
	// Client sends requests to backend servers. The zero Client is ready for
	// use. It is safe for concurrent use; its fields must not change after the
	// first call.
	Client struct {
		// Dial connects to a server; nil is TCP with keep-alive probes.
		Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
		// Connect is the longest time to connect; 0 is 1 s.
		Connect time.Duration
		// Stall is how long a write may make no progress; 0 is 30 s.
		Stall time.Duration
		// Idle is how long an unused connection is kept; 0 is 4 s, less than
		// servers usually keep one.
		Idle time.Duration
		// Entries is how many entries share each server's connections; 0 is 1.
		Entries int

		servers sync.Map // peerKey to *peer
	}

	// Request is one send.
	Request struct {
		// Server is where to send it.
		Server *service.Server
		// HTTP holds method, URL path and query, header, trailer, body and
		// content length. Hop-by-hop headers must have been removed.
		HTTP *http.Request
		// ID tells this send from all others of all entries.
		ID string
		// Patience is how long the connection may stay silent in the middle of
		// an answer; 0 is as long as the context lasts.
		Patience time.Duration
	}

	// Answer is a backend server's answer. Its body ends with io.EOF only
	// if it came whole; other errors are a *SendError.
	Answer struct {
		// Status is the HTTP status.
		Status int
		// Header is the header as it came.
		Header http.Header
		// Length is the announced length of the body, -1 if none is.
		Length int64
		// Trailer is complete once the body has ended.
		Trailer http.Header
		// Body is the answer's body.
		Body io.Reader
		// Latency is the time to the answer's header.
		Latency time.Duration

		send  *send
		raw   io.ReadCloser
		whole bool
	}

	// SendError says how a send ended without a whole answer.
	SendError struct {
		// Code is the numbered outcome.
		Code result.Code
		// Sent tells whether any byte of the request was taken by a
		// connection.
		Sent bool
		// Broken tells whether the server ended the connection after it had
		// been sent bytes, as it does when it crashes.
		Broken bool
		// Answering tells whether any byte of an answer had come.
		Answering bool
		// Ending is the end of the connection; nil if nothing was sent.
		Ending *Ending
		// Err is the cause.
		Err error
	}

	// peerKey tells servers apart, and the limits they had before a change.
	peerKey struct {
		addr               netip.AddrPort
		slots, connections int
	}

	// peer holds the connections to one server.
	peer struct {
		kept, single *http.Transport
		echoes       atomic.Bool
	}

	// send follows one request over its connection.
	send struct {
		cancel context.CancelCauseFunc
		ctx    context.Context
		conn   atomic.Pointer[conn]
		base   int64
		got    int64
		body   *requestBody

		mu    sync.Mutex
		watch *time.Timer
	}
)

// Causes of failed sends.
var (
	errSilent = errors.New("connection is silent")
	errUnfit  = errors.New("answer can't be trusted")
)

// Error formats the error with its code.
func (e *SendError) Error() string {
	return "send ended with code " + e.Code.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Send sends the request and returns the answer once its header has come. The
// error is a *SendError. The answer must be closed.
func (c *Client) Send(ctx context.Context, req *Request) (*Answer, error) {
	p := c.peer(req.Server)
	if p.echoes.Load() && keepable(req.HTTP) {
		ans, err := p.send(ctx, req, p.kept)
		var failed *SendError
		if !errors.As(err, &failed) || failed.Code != result.ConnectFailed {
			return ans, err
		}
		// The kept connection had ended before it took any byte.
	}
	return p.send(ctx, req, p.single)
}

func (p *peer) send(ctx context.Context, req *Request, t *http.Transport) (*Answer, error) {
	s := &send{}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	out := s.prepare(ctx, req)
	started := time.Now()
	resp, err := t.RoundTrip(out)
	if err != nil {
		return nil, s.fail(err)
	}
	if err := s.check(resp, req.ID, p); err != nil {
		_ = resp.Body.Close()
		return nil, s.fail(err)
	}
	if shed(resp) {
		_ = resp.Body.Close()
		s.end()
		return nil, &SendError{Code: result.ShedByServer, Sent: true, Err: errors.New("shed by server")}
	}
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Trailer: resp.Trailer,
		Latency: time.Since(started), send: s, raw: resp.Body,
	}
	a.Body = &answerBody{answer: a, resp: resp}
	s.answering(req.Patience)
	return a, nil
}

// Close ends the answer. A connection whose answer has not come whole is
// closed, which cancels the request at the backend server; its end is returned
// then, and nil otherwise.
func (a *Answer) Close() *Ending {
	_ = a.raw.Close()
	a.send.end()
	if c := a.send.conn.Load(); c != nil && !a.whole {
		_ = c.Close()
		return &c.ending
	}
	return nil
}

// Distrust closes the kept connections to a server that no request is using.
func (c *Client) Distrust(server *service.Server) { c.peer(server).kept.CloseIdleConnections() }

// Alive tells whether the server takes a new connection, a moment after it
// ended another.
func (c *Client) Alive(ctx context.Context, server *service.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveWait+orDefault(c.Connect, defaultConnect))
	defer cancel()
	select {
	case <-time.After(aliveWait):
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

// CloseIdle closes the connections that no request is using.
func (c *Client) CloseIdle() {
	c.servers.Range(func(_, v any) bool {
		if p, ok := v.(*peer); ok {
			p.kept.CloseIdleConnections()
		}
		return true
	})
}

func (c *Client) peer(server *service.Server) *peer {
	key := peerKey{server.Address, server.Slots, server.Connections}
	if v, ok := c.servers.Load(key); ok {
		if p, ok := v.(*peer); ok {
			return p
		}
	}
	limit := max(server.Connections/max(c.Entries, 1), 2)
	p := &peer{kept: c.transport(server, limit/2), single: c.transport(server, limit-limit/2)}
	p.single.DisableKeepAlives = true
	v, _ := c.servers.LoadOrStore(key, p)
	if stored, ok := v.(*peer); ok {
		return stored
	}
	return p
}

func (c *Client) transport(server *service.Server, limit int) *http.Transport {
	addr, dial := server.Address, c.Dial
	if dial == nil {
		dial = dialTCP
	}
	stall := orDefault(c.Stall, defaultStall)
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, orDefault(c.Connect, defaultConnect))
			defer cancel()
			raw, err := dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: raw, stall: stall, ending: Ending{done: make(chan struct{})}}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    max(server.Slots, 1),
		IdleConnTimeout:        orDefault(c.Idle, defaultIdle),
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaders,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		ReadBufferSize:         copyBuffer,
		WriteBufferSize:        copyBuffer,
	}
}

// keepable tells whether a request may use a kept connection.
func keepable(req *http.Request) bool {
	bare := req.Body == nil || req.Body == http.NoBody
	return bare && (req.Method == http.MethodGet || req.Method == http.MethodHead)
}

func (s *send) prepare(parent context.Context, req *Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { s.attach(info.Conn) }}
	out := req.HTTP.Clone(httptrace.WithClientTrace(s.ctx, trace))
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
	s.body = &requestBody{}
	switch m := req.HTTP.Method; {
	case !bare:
		s.body.src = req.HTTP.Body
		out.Body = s.body
	case m == http.MethodGet || m == http.MethodHead:
		// A body that has to be looked at keeps the transport from sending the
		// request a second time by itself.
		out.Body, out.ContentLength = s.body, 0
	default:
		out.Body = http.NoBody
	}
	return out
}

// attach notes the connection that the request goes out on.
func (s *send) attach(raw net.Conn) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	s.base, s.got = c.written.Load(), c.received.Load()
	s.conn.Store(c)
	c.begin(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch = time.AfterFunc(c.next(), func() { s.look(c) })
}

// answering judges the connection by patience from now on.
func (s *send) answering(patience time.Duration) {
	c := s.conn.Load()
	if c == nil || patience == 0 {
		return
	}
	c.begin(patience)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Reset(c.next())
}

// look ends the send if its connection has gone silent, and looks again later
// otherwise.
func (s *send) look(c *conn) {
	if s.ctx.Err() != nil {
		return
	}
	if c.isSilent() {
		s.cancel(errSilent)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Reset(c.next())
}

// check looks for what makes an answer unfit to be passed on.
func (s *send) check(resp *http.Response, sendID string, p *peer) error {
	got := resp.Header.Get(result.HeaderSend)
	switch {
	case got != "" && got != sendID:
		return fmt.Errorf("%w: it belongs to another send", errUnfit)
	case got == "" && p.echoes.Load():
		return fmt.Errorf("%w: it has no send id", errUnfit)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: it switches protocols", errUnfit)
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody:
		return fmt.Errorf("%w: its end is not announced", errUnfit)
	}
	if got != "" {
		p.echoes.Store(true)
	}
	return nil
}

func shed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(result.HeaderShed) == "1"
}

// fail ends the send and classifies err.
func (s *send) fail(err error) *SendError {
	cause := context.Cause(s.ctx)
	s.end()
	sent := s.sent()
	code := s.code(err, cause, sent)
	return &SendError{Ending: s.ending(sent), Code: code, Sent: sent, Broken: code == result.AnswerCut && !errors.Is(err, errUnfit), Answering: s.answered(), Err: err}
}

func (s *send) code(err, cause error, sent bool) result.Code {
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return choose(sent, result.AnswerLate, result.DeadlinePassed)
	case errors.Is(cause, errSilent):
		return choose(sent, result.ConnectionSilent, result.ConnectFailed)
	case cause != nil, s.body.failed() != nil:
		return choose(sent, result.CallerGone, result.CallerLeft)
	case !sent:
		return result.ConnectFailed
	case timedOut(err):
		return result.ConnectionSilent
	default:
		return result.AnswerCut
	}
}

// timedOut tells whether the kernel gave up on the connection because the
// other side had stopped acknowledging.
func timedOut(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, os.ErrDeadlineExceeded)
}

// sent closes the connection and tells whether it took any byte of the
// request.
func (s *send) sent() bool {
	c := s.conn.Load()
	return c != nil && c.settled() > s.base
}

// ending returns the end of the connection, which has been closed.
func (s *send) ending(sent bool) *Ending {
	c := s.conn.Load()
	if c == nil || !sent {
		return nil
	}
	return &c.ending
}

func (s *send) answered() bool {
	c := s.conn.Load()
	return c != nil && c.received.Load() > s.got
}

func (s *send) end() {
	s.cancel(context.Canceled)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watch != nil {
		s.watch.Stop()
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
