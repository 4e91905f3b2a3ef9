package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/internal/once"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// headerForwardedBy names the entry that forwarded an at-most-once request.
	// A request that has it is not forwarded again.
	headerForwardedBy = "Shallotpier-Handed-On"

	maxAtMostOnceResponse = 8 << 20

	// entryConnections limits the connections to another entry.
	entryConnections = 1024
)

// memorySink keeps a complete response in memory.
type memorySink struct {
	call   *call
	stored *once.Answer
}

// once handles a request of an at-most-once class.
func (c *call) once() {
	ticket := c.r.Header.Get(result.HeaderTicket)
	if ticket == "" {
		c.writeError(result.TicketMissing, 0)
		return
	}
	if code := c.bufferWholeBody(); code != 0 {
		c.writeError(code, 0)
		return
	}
	for {
		use := c.h.Once.Begin(c.h.age(), c.file.Service, ticket, c.binding())
		switch use.State {
		case once.Run:
			if c.h.leaving() {
				c.h.Once.End(use, result.EntryLeaving, nil)
				c.writeError(result.EntryLeaving, 0)
				return
			}
			c.execute(use)
			return
		case once.Ended:
			c.replay(use.Code, use.Answer)
			return
		case once.OtherInstance:
			c.forwardToIssuer(use.Instance)
			return
		case once.Running:
			if !c.awaitOutcome(use.Done) {
				return
			}
		default:
			c.writeError(use.Code, 0)
			return
		}
	}
}

// awaitOutcome waits for the end of the running execution and reports whether
// its outcome is available; if not, it has responded to the caller.
func (c *call) awaitOutcome(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-c.ctx.Done():
		c.writeError(choose(errors.Is(c.ctx.Err(), context.DeadlineExceeded), result.AnswerLate, result.CallerGone), 0)
		return false
	}
}

// bufferWholeBody reads the whole body, of known length or not, up to
// maxAtMostOnceBody.
func (c *call) bufferWholeBody() result.Code {
	limit := min(int64(c.class.BodyLimit), maxAtMostOnceBody)
	if c.r.ContentLength > limit {
		return result.BodyTooLarge
	}
	c.body.remaining = limit
	b, err := io.ReadAll(c.body)
	if err != nil {
		return c.bodyErrorCode()
	}
	if len(b) > 0 {
		c.bufferedBody = b
	}
	c.digest = fmt.Sprintf("%x", sha256.Sum256(b))
	return 0
}

// binding returns a hash that identifies the request among others with the same
// ticket.
func (c *call) binding() once.Binding {
	h := sha256.New()
	for _, s := range []string{c.r.Method, c.path, c.r.URL.RawQuery, c.digest} {
		fmt.Fprintf(h, "%d:%s,", len(s), s)
	}
	return once.Binding(h.Sum(nil))
}

// execute runs the request to its end even if its caller disconnects, so that a
// retry of the caller finds the outcome.
func (c *call) execute(use once.Use) {
	exec := *c
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), c.deadline)
	exec.ctx, exec.w = ctx, discardWriter{http.Header{}}
	sink := &memorySink{call: &exec}
	exec.broadcasts = new(sync.WaitGroup)
	c.h.running.Add(1)
	ended := make(chan struct{})
	go func() {
		defer c.h.running.Add(-1)
		defer cancel()
		defer close(ended)
		// If the execution ends without an outcome, it is unknown whether the
		// request ran.
		exec.code = result.AnswerCut
		defer func() { c.h.Once.End(use, exec.code, sink.stored) }()
		exec.runUnlessQuarantined(func() { exec.sendWithRetries(sink) })
		if c.ctx.Err() != nil {
			exec.logExecutionEnd()
		}
	}()
	select {
	case <-ended:
	case <-c.ctx.Done():
		<-c.endedOrNow(ended)
	}
	select {
	case <-ended:
		c.attempts, c.server = exec.attempts, exec.server
		if sink.stored != nil {
			c.replay(exec.code, sink.stored)
			return
		}
		c.writeError(exec.code, retryAfter(exec.w.Header()))
	default:
		c.writeError(result.CallerGone, 0)
	}
}

// endedOrNow returns the channel to wait on once the caller's context has
// ended: ended if the deadline has passed, since the execution has the same
// deadline and is about to end; a closed channel if the caller has
// disconnected.
func (c *call) endedOrNow(ended <-chan struct{}) <-chan struct{} {
	if !errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		now := make(chan struct{})
		close(now)
		return now
	}
	return ended
}

// replay responds with a stored response, or with its result code if there is
// none.
func (c *call) replay(code result.Code, stored *once.Answer) {
	if stored == nil {
		c.writeError(code, 0)
		return
	}
	c.code, c.server = code, stored.Server
	c.writeHeader(stored.Status, stored.Header, int64(len(stored.Body)), stored.Trailer)
	if err := c.write(stored.Body); err != nil {
		c.recordFailure(err)
		return
	}
	c.setTrailer(stored.Trailer)
}

// receive stores the complete response.
func (m *memorySink) receive(resp *backend.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAtMostOnceResponse+1))
	if err != nil {
		return err
	}
	c := m.call
	c.code = result.Served
	if len(body) > maxAtMostOnceResponse {
		c.code = result.AnswerNotKept
		return nil
	}
	m.stored = &once.Answer{Status: resp.Status, Header: http.Header{}, Trailer: resp.Trailer, Body: body, Server: c.server}
	copyEndToEnd(m.stored.Header, resp.Header)
	return nil
}

// forwardToIssuer forwards the request to the entry that issued its ticket.
func (c *call) forwardToIssuer(to id.Instance) {
	if c.h.EntryAddress == nil || c.r.Header.Get(headerForwardedBy) != "" {
		c.writeError(result.TicketElsewhere, 0)
		return
	}
	addr, ok := c.h.EntryAddress(to)
	if !ok {
		c.writeError(result.TicketElsewhere, 0)
		return
	}
	out := c.outgoingRequest()
	out.URL.Path, out.URL.RawPath = c.r.URL.Path, c.r.URL.RawPath
	out.Header.Set(result.HeaderTicket, c.r.Header.Get(result.HeaderTicket))
	out.Header.Set(headerForwardedBy, string(c.h.Instance))
	resp, err := c.h.Backend.Send(c.ctx, &backend.Request{Server: entryServer(to, addr), HTTP: out, ID: c.h.sendID()})
	if err != nil {
		c.writeError(choose(errors.Is(c.ctx.Err(), context.DeadlineExceeded), result.AnswerLate, result.TicketElsewhere), 0)
		return
	}
	defer resp.Close()
	c.relay(resp)
}

// relay responds with another entry's response and its result code.
func (c *call) relay(resp *backend.Response) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAtMostOnceResponse))
	code, ok := parseCode(resp.Header.Get(result.HeaderCode))
	if err != nil || !ok {
		c.writeError(result.TicketElsewhere, 0)
		return
	}
	c.code, c.server = code, id.Server(resp.Header.Get(result.HeaderServer))
	c.writeHeader(resp.Status, resp.Header, int64(len(body)), resp.Trailer)
	if err := c.write(body); err != nil {
		c.recordFailure(err)
		return
	}
	c.setTrailer(resp.Trailer)
}

// entryServer returns another entry as the destination of a send.
func entryServer(name id.Instance, addr netip.AddrPort) *service.Server {
	return &service.Server{Name: id.Server(name), Address: addr, Slots: 1, Connections: entryConnections}
}

func choose(cond bool, yes, no result.Code) result.Code {
	if cond {
		return yes
	}
	return no
}

func parseCode(s string) (result.Code, bool) {
	var n int
	if _, err := fmt.Sscanf(s, "%4d", &n); err != nil {
		return 0, false
	}
	_, ok := result.Code(n).Info()
	return result.Code(n), ok
}

func retryAfter(h http.Header) time.Duration {
	d, err := time.ParseDuration(h.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return d
}

// discardWriter is the http.ResponseWriter of an execution, which may outlive
// its caller and doesn't write to it.
type discardWriter struct{ header http.Header }

// Header returns a header that is not sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write discards p.
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader does nothing.
func (d discardWriter) WriteHeader(int) {}
