package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// attempt is one send.
type attempt struct {
	answer *Answer
	err    *Error
}

// Do sends a request and returns the answer of the backend server. The error
// is an *Error.
func (c *Client) Do(ctx context.Context, req *Request) (*Answer, error) {
	ctx, cancel := c.bound(ctx)
	entries, err := c.entries(ctx, req.Service)
	if err != nil {
		cancel()
		return nil, err
	}
	stream := &oneStream{src: req.Stream}
	last := &Error{Ran: result.No, Err: errors.New("no entries are known")}
	doubt := false
	attempts := c.attempts()
	for i := range attempts {
		got := c.send(ctx, entries[i%len(entries)].Address, req, stream, "", attempts-i)
		if got.err == nil {
			got.answer.Body = &closer{ReadCloser: got.answer.Body, cancel: cancel}
			return got.answer, nil
		}
		last = got.err
		doubt = doubt || last.Ran != result.No
		if ctx.Err() != nil || !again(req, last) || stream.touched() {
			break
		}
	}
	cancel()
	if doubt {
		last.Ran = result.Unknown
	}
	return nil, last
}

// again tells whether another entry may be asked to do what one did not.
func again(req *Request, e *Error) bool {
	read := req.Method == http.MethodGet || req.Method == http.MethodHead
	if e.Ran == result.Unknown {
		return read
	}
	switch e.Code {
	case 0, result.EntryLeaving, result.NotReady:
		return true
	default:
		return false
	}
}

func (c *Client) entries(ctx context.Context, service id.Service) ([]lookup.Entry, error) {
	a, err := c.Lookup(ctx, service)
	if err != nil {
		return nil, err
	}
	if len(a.Entries) == 0 {
		return nil, &Error{Code: result.NotReady, Ran: result.No}
	}
	return order(a), nil
}

// send sends the request to one entry. With sends left for a read, it waits
// an equal part of the time.
func (c *Client) send(ctx context.Context, addr netip.AddrPort, req *Request, stream *oneStream, ticket string, sends int) attempt {
	read := req.Method == http.MethodGet || req.Method == http.MethodHead
	waiting, stop := context.WithCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok && read && sends > 1 {
		t := time.AfterFunc(time.Until(deadline)/time.Duration(sends), stop)
		defer t.Stop()
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
		WroteHeaders:     func() { sent.Store(true) },
	}
	out, err := c.build(httptrace.WithClientTrace(waiting, trace), addr, req, stream, ticket)
	if err != nil {
		stop()
		return attempt{err: &Error{Code: result.BadRequest, Ran: result.No, Err: err}}
	}
	transport := c.single
	if read {
		transport = c.kept
	}
	resp, err := transport.RoundTrip(out)
	if err != nil {
		stop()
		c.forget(req.Service)
		ran := result.No
		if sent.Load() {
			ran = result.Unknown
		}
		return attempt{err: &Error{Ran: ran, Err: err}}
	}
	return c.taken(resp, req, stop)
}

// taken sorts an entry's answer into answers and errors.
func (c *Client) taken(resp *http.Response, req *Request, stop context.CancelFunc) attempt {
	code, ran, ok := said(resp)
	if !ok {
		resp.Body.Close()
		stop()
		return attempt{err: &Error{Ran: result.Unknown, Err: errors.New("answer has no result code")}}
	}
	if ran != result.Yes || code == result.AnswerNotKept {
		resp.Body.Close()
		stop()
		if code == result.EntryLeaving || code == result.NotReady {
			c.forget(req.Service)
		}
		return attempt{err: refused(resp)}
	}
	resp.Body = &closer{ReadCloser: resp.Body, cancel: stop}
	return attempt{answer: &Answer{Response: resp, Code: code, Ran: ran, Entry: id.Instance(resp.Header.Get(result.HeaderEntry))}}
}

func (c *Client) build(ctx context.Context, addr netip.AddrPort, req *Request, stream *oneStream, ticket string) (*http.Request, error) {
	var body io.Reader
	if req.Body != nil {
		body = bytes.NewReader(req.Body)
	} else if stream.src != nil {
		body = stream
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+addr.String()+"/s/"+string(req.Service)+req.Path, body)
	if err != nil {
		return nil, err
	}
	if req.Header != nil {
		out.Header = req.Header.Clone()
	}
	if req.Body == nil && stream.src != nil {
		if out.ContentLength = req.Length; req.Length == 0 {
			out.ContentLength = -1
		}
	}
	out.GetBody = nil // net/http must not send it again
	if v := c.version(req.Service); v > 0 {
		out.Header.Set(result.HeaderVersion, strconv.FormatUint(uint64(v), 10))
	}
	if ticket != "" {
		out.Header.Set(result.HeaderTicket, ticket)
	}
	if req.ID != "" {
		out.Header.Set(result.HeaderRequestID, req.ID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(result.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	return out, nil
}

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

func (c *Client) attempts() int {
	if c.Attempts == 0 {
		return defaultAttempts
	}
	return c.Attempts
}

// said reads what the entry says about its answer.
func said(resp *http.Response) (result.Code, result.Ran, bool) {
	n, err := strconv.Atoi(resp.Header.Get(result.HeaderCode))
	var ran result.Ran
	if err != nil || ran.UnmarshalText([]byte(resp.Header.Get(result.HeaderRan))) != nil {
		return 0, result.Unknown, false
	}
	return result.Code(n), ran, true
}

func refused(resp *http.Response) *Error {
	code, ran, _ := said(resp)
	e := &Error{Code: code, Ran: ran}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

type (
	// oneStream is a body that is sent at most once.
	oneStream struct {
		src  io.Reader
		read atomic.Bool
	}

	// closer ends a request's context with its answer's body.
	closer struct {
		io.ReadCloser
		cancel context.CancelFunc
	}
)

// Read reads the stream.
func (s *oneStream) Read(p []byte) (int, error) {
	s.read.Store(true)
	return s.src.Read(p)
}

func (s *oneStream) touched() bool { return s.read.Load() }

// Close closes the body and ends the context.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
