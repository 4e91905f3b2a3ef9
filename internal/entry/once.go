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
	// headerHandedOn names the entry that handed a once-only request on. A
	// request that has it is not handed on again.
	headerHandedOn = "Shallotpier-Handed-On"

	maxOnceAnswer = 8 << 20

	// entryConnections bounds the connections to another entry.
	entryConnections = 1024
)

// keptAnswer keeps a whole answer in memory.
type keptAnswer struct {
	call   *call
	answer *once.Answer
}

// once handles a request of a once-only class.
func (c *call) once() {
	ticket := c.r.Header.Get(result.HeaderTicket)
	if ticket == "" {
		c.refuse(result.TicketMissing, 0)
		return
	}
	if code := c.readOnce(); code != 0 {
		c.refuse(code, 0)
		return
	}
	for {
		use := c.h.Once.Begin(c.h.age(), c.file.Service, ticket, c.binding())
		switch use.State {
		case once.Run:
			if c.h.leaving() {
				c.h.Once.End(use, result.EntryLeaving, nil)
				c.refuse(result.EntryLeaving, 0)
				return
			}
			c.execute(use)
			return
		case once.Ended:
			c.replay(use.Code, use.Answer)
			return
		case once.Elsewhere:
			c.handOn(use.Instance)
			return
		case once.Running:
			if !c.await(use.Done) {
				return
			}
		default:
			c.refuse(use.Code, 0)
			return
		}
	}
}

// await waits for the end of the running execution and tells whether the
// outcome can be asked for.
func (c *call) await(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-c.ctx.Done():
		c.refuse(choose(errors.Is(c.ctx.Err(), context.DeadlineExceeded), result.AnswerLate, result.CallerGone), 0)
		return false
	}
}

// readOnce reads the whole body, announced or not.
func (c *call) readOnce() result.Code {
	limit := min(int64(c.class.BodyLimit), maxOnceBody)
	if c.r.ContentLength > limit {
		return result.BodyTooLarge
	}
	c.body.left = limit
	b, err := io.ReadAll(c.body)
	if err != nil {
		return c.bodyCode()
	}
	if len(b) > 0 {
		c.small = b
	}
	c.digest = fmt.Sprintf("%x", sha256.Sum256(b))
	return 0
}

// binding tells the request apart from others with the same ticket.
func (c *call) binding() once.Binding {
	h := sha256.New()
	for _, s := range []string{c.r.Method, c.path, c.r.URL.RawQuery, c.digest} {
		fmt.Fprintf(h, "%d:%s,", len(s), s)
	}
	return once.Binding(h.Sum(nil))
}

// execute runs the request to its end even if its caller goes away, so that a
// resend finds the outcome.
func (c *call) execute(use once.Use) {
	exec := *c
	deadline, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), c.deadline)
	exec.ctx, exec.w = deadline, discard{http.Header{}}
	kept := &keptAnswer{call: &exec}
	exec.spreads = new(sync.WaitGroup)
	c.h.running.Add(1)
	ended := make(chan struct{})
	go func() {
		defer c.h.running.Add(-1)
		defer cancel()
		defer close(ended)
		// Without an outcome it is unknown whether the request ran.
		exec.code = result.AnswerCut
		defer func() { c.h.Once.End(use, exec.code, kept.answer) }()
		exec.checked(func() { exec.carry(kept) })
		if c.ctx.Err() != nil {
			exec.logEnd()
		}
	}()
	select {
	case <-ended:
	case <-c.ctx.Done():
		<-c.giveTime(ended)
	}
	select {
	case <-ended:
		c.attempts, c.server = exec.attempts, exec.server
		if kept.answer != nil {
			c.replay(exec.code, kept.answer)
			return
		}
		c.refuse(exec.code, retryAfter(exec.w.Header()))
	default:
		c.refuse(result.CallerGone, 0)
	}
}

// giveTime waits a moment longer at the deadline, when the execution ends by
// itself.
func (c *call) giveTime(ended <-chan struct{}) <-chan struct{} {
	if !errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		now := make(chan struct{})
		close(now)
		return now
	}
	return ended
}

// replay answers with a kept answer, or says why there is none.
func (c *call) replay(code result.Code, a *once.Answer) {
	if a == nil {
		c.refuse(code, 0)
		return
	}
	c.code, c.server = code, a.Server
	c.head(a.Status, a.Header, int64(len(a.Body)), a.Trailer)
	if err := c.write(a.Body); err != nil {
		c.cut(err)
		return
	}
	c.trail(a.Trailer)
}

// take keeps the whole answer.
func (k *keptAnswer) take(ans *backend.Response) error {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxOnceAnswer+1))
	if err != nil {
		return err
	}
	c := k.call
	c.code = result.Served
	if len(body) > maxOnceAnswer {
		c.code = result.AnswerNotKept
		return nil
	}
	k.answer = &once.Answer{Status: ans.Status, Header: http.Header{}, Trailer: ans.Trailer, Body: body, Server: c.server}
	passOn(k.answer.Header, ans.Header)
	return nil
}

// handOn sends the request to the entry that minted its ticket.
func (c *call) handOn(to id.Instance) {
	if c.h.Entry == nil || c.r.Header.Get(headerHandedOn) != "" {
		c.refuse(result.TicketElsewhere, 0)
		return
	}
	addr, ok := c.h.Entry(to)
	if !ok {
		c.refuse(result.TicketElsewhere, 0)
		return
	}
	out := c.outgoing()
	out.URL.Path, out.URL.RawPath = c.r.URL.Path, c.r.URL.RawPath
	out.Header.Set(result.HeaderTicket, c.r.Header.Get(result.HeaderTicket))
	out.Header.Set(headerHandedOn, string(c.h.Instance))
	ans, err := c.h.Backend.Send(c.ctx, &backend.Request{Server: entryServer(to, addr), HTTP: out, ID: c.h.sendID()})
	if err != nil {
		c.refuse(choose(errors.Is(c.ctx.Err(), context.DeadlineExceeded), result.AnswerLate, result.TicketElsewhere), 0)
		return
	}
	defer ans.Close()
	c.relay(ans)
}

// relay passes another entry's answer on, with its code.
func (c *call) relay(ans *backend.Response) {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxOnceAnswer))
	code, ok := parseCode(ans.Header.Get(result.HeaderCode))
	if err != nil || !ok {
		c.refuse(result.TicketElsewhere, 0)
		return
	}
	c.code, c.server = code, id.Server(ans.Header.Get(result.HeaderServer))
	c.head(ans.Status, ans.Header, int64(len(body)), ans.Trailer)
	if err := c.write(body); err != nil {
		c.cut(err)
		return
	}
	c.trail(ans.Trailer)
}

// entryServer describes another entry as the target of a send.
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

// discard is where an execution without its caller writes to.
type discard struct{ header http.Header }

// Header returns a header that nobody is sent.
func (d discard) Header() http.Header { return d.header }

// Write drops p.
func (d discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader does nothing.
func (d discard) WriteHeader(int) {}
