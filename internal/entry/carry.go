package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/retry"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

type (
	// taker takes a backend server's answer.
	taker interface {
		// take passes the answer on, or keeps it. An error means that nothing
		// was passed on yet and that another answer may be taken.
		take(ans *backend.Response) error
	}

	// ending is how one send ended.
	ending struct {
		code result.Code
		// broken tells that the server ended the connection; answering, that
		// it had begun to answer.
		broken, answering bool
		// end is the end of the connection, if the server may still be running
		// the request.
		end *backend.PendingClose
		// passed tells that an answer was passed on, whole or not.
		passed  bool
		latency time.Duration
		after   time.Duration
	}
)

// carry sends the request, again where that is safe, and answers the caller.
func (c *call) carry(t taker) {
	var tried []id.Server
	var last ending
	for {
		e, used := c.attempt(t, tried)
		if e.passed {
			c.code = e.code
			if e.broken {
				c.spreads.Wait()
			}
			return
		}
		if len(used) == 0 && len(tried) > 0 {
			e = last // no further permit; the last send tells more
		}
		if len(used) == 0 || !c.again(&e) {
			c.giveUp(&e)
			return
		}
		tried, last = append(tried, used...), e
	}
}

// giveUp answers that the request failed. A request that may have run in an
// earlier send is never said not to have run. The other entries know of its
// crashes by then.
func (c *call) giveUp(e *ending) {
	c.spreads.Wait()
	if c.doubt != 0 {
		c.refuse(c.doubt, 0)
		return
	}
	c.refuse(e.code, e.after)
}

// attempt sends the request, a read perhaps over two connections, and passes
// the answer on. It returns the servers that were tried.
func (c *call) attempt(t taker, tried []id.Server) (ending, []id.Server) {
	f := c.launch(tried)
	f, used := c.race(f, tried)
	return c.settle(t, f), used
}

// settle passes the answer on and gives the permit back.
func (c *call) settle(t taker, f *flight) ending {
	defer f.cancel()
	if f.permit == nil {
		c.attempts--
		return c.refusal(f.err)
	}
	c.server = f.permit.Server().Name
	var e ending
	if f.err == nil {
		e = c.take(t, f.ans)
		if end := f.ans.Close(); end != nil {
			e.end = end
		}
	} else {
		e = c.failure(f.err)
	}
	c.release(f, &e)
	c.judge(&e, f)
	if !e.passed && e.code.Ran() != result.No {
		c.doubt = e.code
	}
	return e
}

func (c *call) take(t taker, ans *backend.Response) ending {
	err := t.take(ans)
	if err != nil {
		e := c.failure(err)
		e.latency = ans.Latency
		return e
	}
	return ending{code: c.code, broken: c.broken, answering: true, passed: true, latency: ans.Latency}
}

// refusal turns a refused admission into an ending.
func (c *call) refusal(err error) ending {
	var refused *admission.RefusedError
	switch {
	case errors.As(err, &refused):
		return ending{code: refused.Code, after: refused.RetryAfter}
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return ending{code: result.DeadlinePassed}
	case c.ctx.Err() != nil:
		return ending{code: result.CallerLeft}
	default:
		return ending{code: result.NoCapacity, after: time.Second}
	}
}

func (c *call) failure(err error) ending {
	var failed *backend.SendError
	if !errors.As(err, &failed) {
		return ending{code: result.CallerGone}
	}
	e := ending{code: failed.Code, broken: failed.ServerClosed, answering: failed.ResponseStarted, end: failed.PendingClose}
	if over := c.body.over.Load(); over && failed.Sent {
		e.code = result.BodyOverLimit
	} else if over {
		e.code = result.BodyTooLarge
	}
	if e.code == result.ShedByServer {
		e.after = time.Second
	}
	return e
}

// release gives the permit back: at once if the server can't be running the
// request, and otherwise when it has ended the connection.
func (c *call) release(f *flight, e *ending) {
	out := admission.Outcome{Code: e.code, Latency: e.latency}
	if e.end == nil {
		f.permit.Release(out)
		return
	}
	c.h.running.Add(1)
	deadline := c.deadline
	go func() {
		defer c.h.running.Add(-1)
		if !e.end.Wait() {
			// The server may not have heard that nobody waits.
			out.Running = latest(deadline, time.Now().Add(cancelTime))
		}
		f.permit.Release(out)
	}()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// judge tells the quarantine, and the other entries, what the send showed. A
// server that ends the connection before it answers counts as crashed; one
// that does in the middle of an answer only if it takes no new connection.
func (c *call) judge(e *ending, f *flight) {
	q := c.h.Quarantine
	switch {
	case q == nil:
	case e.broken:
		if e.answering && c.h.Backend.Alive(context.WithoutCancel(c.ctx), f.permit.Server()) {
			return
		}
		c.spread(q.Sight(time.Now(), c.print, c.origin(f)))
	case e.code == result.Served:
		if news, ok := q.Clear(time.Now(), c.print); ok {
			c.spread(news)
		}
	}
}

// origin tells of a send that broke. Of two sends of one request that were
// under way together, the second counts as begun after the first had broken:
// they can't have met by chance.
func (c *call) origin(f *flight) quarantine.Origin {
	o := quarantine.Origin{Service: c.file.Service, Class: c.class.Name, Send: f.send, Began: f.began}
	if c.attempts > 1 {
		o.Began = time.Now()
	}
	return o
}

// spread tells the other entries. Callers are not told that their request
// failed before it has ended.
func (c *call) spread(news quarantine.Sighting) {
	if c.h.Spread == nil {
		return
	}
	c.spreads.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), spreadTime)
		defer cancel()
		c.h.Spread.Spread(ctx, news)
	})
}

// again tells whether the request may be sent once more after e. A failed
// connection is no send; only maxUnconnected of them are taken so, so that a
// request ends when no server can be reached.
func (c *call) again(e *ending) bool {
	unsent := e.code == result.ConnectFailed && c.unconnected < maxUnconnected
	if unsent {
		c.unconnected++
		c.attempts--
	}
	try := retry.Try{Kind: c.class.Kind, Code: e.code, Sends: max(c.attempts, 1), Attempts: c.file.Retry.Attempts, Deadline: c.deadline}
	if unsent {
		try.Attempts++ // counts the failed connection as one
	}
	if !retry.Allowed(&try, time.Now()) {
		return false
	}
	if e.broken && c.h.Quarantine != nil && c.h.Quarantine.Quarantined(time.Now(), c.print) {
		return false
	}
	if e.code == result.ConnectFailed {
		return c.canResend() // it was no load to any server
	}
	return c.mayResend()
}

// mayResend tells whether one more send is possible and within the budget.
func (c *call) mayResend() bool {
	return c.canResend() && c.h.Budget.Retry(time.Now(), c.file)
}

func (c *call) canResend() bool {
	if c.h.Budget == nil || c.ctx.Err() != nil || c.attempts >= c.file.Retry.Attempts {
		return false
	}
	return c.small != nil || c.r.ContentLength == 0 || c.body.untouched()
}

// patience is how long a read's connection may stay silent: an equal part of
// the time left for each send that remains. The last send has all of it.
func (c *call) patience() time.Duration {
	sends := c.file.Retry.Attempts - c.attempts + 1
	if !c.class.Kind.Safe() || sends <= 1 || c.h.Budget == nil {
		return 0
	}
	return max(time.Until(c.deadline)/time.Duration(sends), time.Millisecond)
}

// abort ends the caller's connection, so that a part of an answer can't look
// whole.
func abort() { panic(http.ErrAbortHandler) }
