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

// attempt is the result of one send; either answer or err is set.
type attempt struct {
	answer *Answer
	err    *Error
}

// Do sends a request and returns the answer of the backend server. Up to
// Attempts sends in all, it retries at the next entry: a GET or HEAD whose
// outcome is unknown, and any request that did not reach an entry or was refused
// because the entry is leaving or not ready. The error is an *Error; its Ran is No
// only if no send may have run.
func (c *Client) Do(ctx context.Context, req *Request) (*Answer, error) {
	ctx, cancel := c.withTimeout(ctx)
	entries, err := c.entries(ctx, req.Service)
	if err != nil {
		cancel()
		return nil, err
	}
	stream := &singleUseBody{src: req.Stream}
	last := &Error{Ran: result.No, Err: errors.New("no entry addresses are known")}
	uncertain := false
	attempts := c.attempts()
	for i := range attempts {
		got := c.send(ctx, entries[i%len(entries)].Address, req, stream, "", attempts-i)
		if got.err == nil {
			got.answer.Body = &cancelingBody{ReadCloser: got.answer.Body, cancel: cancel}
			return got.answer, nil
		}
		last = got.err
		uncertain = uncertain || last.Ran != result.No
		if ctx.Err() != nil || !retryable(req, last) || stream.started() {
			break
		}
	}
	cancel()
	if uncertain {
		last.Ran = result.Unknown
	}
	return nil, last
}

// retryable reports whether the request may be sent to another entry after the
// error.
func retryable(req *Request, e *Error) bool {
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
	return weightedOrder(a), nil
}

// send sends the request to one entry. sends is the number of sends left; a read
// waits for the response headers for at most the remaining time divided by it, so
// that the later sends get an equal share.
func (c *Client) send(ctx context.Context, addr netip.AddrPort, req *Request, stream *singleUseBody, ticket string, sends int) attempt {
	read := req.Method == http.MethodGet || req.Method == http.MethodHead
	sendCtx, cancel := context.WithCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok && read && sends > 1 {
		t := time.AfterFunc(time.Until(deadline)/time.Duration(sends), cancel)
		defer t.Stop()
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
		WroteHeaders:     func() { sent.Store(true) },
	}
	out, err := c.newRequest(httptrace.WithClientTrace(sendCtx, trace), addr, req, stream, ticket)
	if err != nil {
		cancel()
		return attempt{err: &Error{Code: result.BadRequest, Ran: result.No, Err: err}}
	}
	transport := c.unpooled
	if read {
		transport = c.pooled
	}
	resp, err := transport.RoundTrip(out)
	if err != nil {
		cancel()
		c.invalidate(req.Service)
		ran := result.No
		if sent.Load() {
			ran = result.Unknown
		}
		return attempt{err: &Error{Ran: ran, Err: err}}
	}
	return c.classify(resp, req, cancel)
}

// classify converts an entry's response to an answer or an error.
func (c *Client) classify(resp *http.Response, req *Request, cancel context.CancelFunc) attempt {
	code, ran, ok := parseOutcome(resp)
	if !ok {
		resp.Body.Close()
		cancel()
		return attempt{err: &Error{Ran: result.Unknown, Err: errors.New("response lacks a valid Shallotpier-Code or Shallotpier-Ran header")}}
	}
	if ran != result.Yes || code == result.AnswerNotKept {
		resp.Body.Close()
		cancel()
		if code == result.EntryLeaving || code == result.NotReady {
			c.invalidate(req.Service)
		}
		return attempt{err: errorOf(resp)}
	}
	resp.Body = &cancelingBody{ReadCloser: resp.Body, cancel: cancel}
	return attempt{answer: &Answer{Response: resp, Code: code, Ran: ran, Entry: id.Instance(resp.Header.Get(result.HeaderEntry))}}
}

func (c *Client) newRequest(ctx context.Context, addr netip.AddrPort, req *Request, stream *singleUseBody, ticket string) (*http.Request, error) {
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
	out.GetBody = nil // keeps net/http from sending the request again
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

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
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

// parseOutcome reads the result headers of an entry's response. It returns false
// if one is missing or malformed.
func parseOutcome(resp *http.Response) (result.Code, result.Ran, bool) {
	n, err := strconv.Atoi(resp.Header.Get(result.HeaderCode))
	var ran result.Ran
	if err != nil || ran.UnmarshalText([]byte(resp.Header.Get(result.HeaderRan))) != nil {
		return 0, result.Unknown, false
	}
	return result.Code(n), ran, true
}

func errorOf(resp *http.Response) *Error {
	code, ran, _ := parseOutcome(resp)
	e := &Error{Code: code, Ran: ran}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

type (
	// singleUseBody records whether its source was read from; a body that was
	// read can't be sent again.
	singleUseBody struct {
		src  io.Reader
		read atomic.Bool
	}

	// cancelingBody cancels the request's context when the body is closed.
	cancelingBody struct {
		io.ReadCloser
		cancel context.CancelFunc
	}
)

// Read reads from the source.
func (s *singleUseBody) Read(p []byte) (int, error) {
	s.read.Store(true)
	return s.src.Read(p)
}

func (s *singleUseBody) started() bool { return s.read.Load() }

// Close closes the body and cancels the context.
func (c *cancelingBody) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
