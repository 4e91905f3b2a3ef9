package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

type (
	// taker takes a backend server's answer.
	taker interface {
		// take passes the answer on, or keeps it. An error means that nothing
		// was passed on yet and that another answer may be taken.
		take(ans *backend.Answer) error
	}

	// ending is how one send ended.
	ending struct {
		code   result.Code
		broken bool
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
	doubt := result.Code(0)
	for {
		e, server := c.attempt(t, tried)
		if e.passed {
			c.code = e.code
			return
		}
		if e.code.Ran() != result.No {
			doubt = e.code
		}
		if server == "" && len(tried) > 0 {
			e = last // no further permit; the last send tells more
		}
		if !c.again(&e, server) {
			c.giveUp(&e, doubt)
			return
		}
		tried, last = append(tried, server), e
	}
}

// giveUp answers that the request failed. A request that may have run in an
// earlier send is never said not to have run.
func (c *call) giveUp(e *ending, doubt result.Code) {
	if doubt != 0 {
		c.refuse(doubt, 0)
		return
	}
	c.refuse(e.code, e.after)
}

// attempt asks for a permit, sends once, and gives the permit back.
func (c *call) attempt(t taker, tried []id.Server) (ending, id.Server) {
	permit, err := c.h.Admitter.Admit(c.ctx, c.admission(tried))
	if err != nil {
		return c.refusal(err), ""
	}
	server := permit.Server()
	c.server = server.Name
	c.attempts++
	if c.attempts == 1 && c.h.Budget != nil {
		c.h.Budget.First(time.Now(), c.file)
	}
	send := c.h.sendID()
	ans, err := c.h.Backend.Send(c.ctx, &backend.Request{Server: server, HTTP: c.outgoing(), ID: send, Patience: c.patience()})
	var e ending
	if err == nil {
		e = c.take(t, ans)
		ans.Close()
	} else {
		e = c.failure(err)
	}
	permit.Release(c.outcome(&e))
	c.judge(&e, send)
	return e, server.Name
}

func (c *call) take(t taker, ans *backend.Answer) ending {
	err := t.take(ans)
	if err != nil {
		e := c.failure(err)
		e.latency = ans.Latency
		return e
	}
	return ending{code: c.code, broken: c.broken, passed: true, latency: ans.Latency}
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
	e := ending{code: failed.Code, broken: failed.Broken}
	if c.body.over && failed.Sent {
		e.code = result.BodyOverLimit
	} else if c.body.over {
		e.code = result.BodyTooLarge
	}
	if e.code == result.ShedByServer {
		e.after = time.Second
	}
	return e
}

// outcome tells the admitter what the send showed, and until when the server
// may still be running it.
func (c *call) outcome(e *ending) admission.Outcome {
	out := admission.Outcome{Code: e.code, Latency: e.latency}
	now := time.Now()
	switch e.code {
	case result.ConnectionSilent:
		// The server may not hear that the connection has ended.
		out.Running = latest(c.deadline, now.Add(cancelTime))
	case result.AnswerLate, result.CallerGone, result.BodyOverLimit:
		out.Running = now.Add(cancelTime)
	}
	return out
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// judge tells the quarantine what the send showed. The other entries know of
// a crash before anything else happens to the request.
func (c *call) judge(e *ending, send string) {
	q := c.h.Quarantine
	if q == nil {
		return
	}
	var news quarantine.Sighting
	switch {
	case e.broken:
		news = q.Sight(time.Now(), c.print, c.file.Service, send)
	case e.code == result.Served:
		cleared, ok := q.Clear(time.Now(), c.print)
		if !ok {
			return
		}
		news = cleared
	default:
		return
	}
	if c.h.Spread == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), spreadTime)
	defer cancel()
	c.h.Spread.Spread(ctx, news)
}

// again tells whether the request may be sent once more.
func (c *call) again(e *ending, server id.Server) bool {
	switch {
	case server == "" || c.ctx.Err() != nil || c.attempts >= c.file.Retry.Attempts:
		return false
	case !c.class.Kind.Safe() && !resendable(e.code):
		return false
	case c.class.Kind.Safe() && !resendable(e.code) && e.code != result.AnswerCut && e.code != result.ConnectionSilent:
		return false
	case c.small == nil && c.r.ContentLength != 0 && !c.body.untouched():
		return false
	case e.broken && c.h.Quarantine != nil && c.h.Quarantine.Quarantined(time.Now(), c.print):
		return false
	}
	return c.h.Budget != nil && c.h.Budget.Retry(time.Now(), c.file)
}

// resendable names the codes that prove that a send did not run and that
// another server may do better.
func resendable(code result.Code) bool {
	return code == result.ConnectFailed || code == result.ShedByServer
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
