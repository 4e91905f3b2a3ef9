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
	// responseSink consumes the response of a backend server.
	responseSink interface {
		// receive forwards or stores the response. An error means that nothing
		// was forwarded, so that the sink may receive another response.
		receive(resp *backend.Response) error
	}

	// sendResult is the outcome of one send.
	sendResult struct {
		code result.Code
		// serverClosed is set if the server closed the connection;
		// responseStarted, if it had begun to respond.
		serverClosed, responseStarted bool
		// pendingClose is the pending close of the connection, if the server
		// may still be running the request.
		pendingClose *backend.PendingClose
		// forwarded is set if a response was forwarded, completely or in part.
		forwarded  bool
		latency    time.Duration
		retryAfter time.Duration
	}
)

// sendWithRetries sends the request, retries it where that is safe, and
// responds to the caller.
func (c *call) sendWithRetries(sink responseSink) {
	var tried []id.Server
	var last sendResult
	for {
		res, used := c.attempt(sink, tried)
		if res.forwarded {
			c.code = res.code
			if res.serverClosed {
				c.broadcasts.Wait()
			}
			return
		}
		if len(used) == 0 && len(tried) > 0 {
			res = last // no further permit; the last result is more specific
		}
		if len(used) == 0 || !c.allowRetry(&res) {
			c.fail(&res)
			return
		}
		tried, last = append(tried, used...), res
	}
}

// fail responds that the request failed. If an earlier send may have run the
// request, the response has the code of that send, never one that means "not
// run". It first waits for the broadcast of crash reports, so that a caller
// that retries at another entry finds the request quarantined.
func (c *call) fail(res *sendResult) {
	c.broadcasts.Wait()
	if c.ambiguous != 0 {
		c.writeError(c.ambiguous, 0)
		return
	}
	c.writeError(res.code, res.retryAfter)
}

// attempt sends the request, possibly hedged if it is a read, and forwards the
// response. It returns the servers that were tried.
func (c *call) attempt(sink responseSink, tried []id.Server) (sendResult, []id.Server) {
	s := c.startSend(tried)
	s, used := c.awaitOrHedge(s, tried)
	return c.finishSend(sink, s), used
}

// finishSend forwards the response and releases the permit.
func (c *call) finishSend(sink responseSink, s *pendingSend) sendResult {
	defer s.cancel()
	if s.permit == nil {
		c.attempts--
		return c.admissionFailure(s.err)
	}
	c.server = s.permit.Server().Name
	var res sendResult
	if s.err == nil {
		res = c.forward(sink, s.resp)
		if pending := s.resp.Close(); pending != nil {
			res.pendingClose = pending
		}
	} else {
		res = c.sendFailure(s.err)
	}
	c.releasePermit(s, &res)
	c.reportOutcome(&res, s)
	if !res.forwarded && res.code.Ran() != result.No {
		c.ambiguous = res.code
	}
	return res
}

func (c *call) forward(sink responseSink, resp *backend.Response) sendResult {
	err := sink.receive(resp)
	if err != nil {
		res := c.sendFailure(err)
		res.latency = resp.Latency
		return res
	}
	return sendResult{code: c.code, serverClosed: c.serverClosed, responseStarted: true, forwarded: true, latency: resp.Latency}
}

// admissionFailure returns the result of a send that got no permit.
func (c *call) admissionFailure(err error) sendResult {
	var refused *admission.RefusedError
	switch {
	case errors.As(err, &refused):
		return sendResult{code: refused.Code, retryAfter: refused.RetryAfter}
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return sendResult{code: result.DeadlinePassed}
	case c.ctx.Err() != nil:
		return sendResult{code: result.CallerLeft}
	default:
		return sendResult{code: result.NoCapacity, retryAfter: time.Second}
	}
}

func (c *call) sendFailure(err error) sendResult {
	var failed *backend.SendError
	if !errors.As(err, &failed) {
		return sendResult{code: result.CallerGone}
	}
	res := sendResult{code: failed.Code, serverClosed: failed.ServerClosed, responseStarted: failed.ResponseStarted, pendingClose: failed.PendingClose}
	if over := c.body.overLimit.Load(); over && failed.Sent {
		res.code = result.BodyOverLimit
	} else if over {
		res.code = result.BodyTooLarge
	}
	if res.code == result.ShedByServer {
		res.retryAfter = time.Second
	}
	return res
}

// releasePermit releases the permit: at once if the server can't be running the
// request, otherwise once the server has closed the connection.
func (c *call) releasePermit(s *pendingSend, res *sendResult) {
	out := admission.Outcome{Code: res.code, Latency: res.latency}
	if res.pendingClose == nil {
		s.permit.Release(out)
		return
	}
	c.h.running.Add(1)
	deadline := c.deadline
	go func() {
		defer c.h.running.Add(-1)
		if !res.pendingClose.Wait() {
			// The server may not have received the half-close, and may run the
			// request until its deadline.
			out.RunningUntil = latest(deadline, time.Now().Add(cancelDelay))
		}
		s.permit.Release(out)
	}()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reportOutcome reports a crash or a success to the quarantine and broadcasts
// the report. A server that closes the connection before it responds counts as
// crashed; one that closes it in the middle of a response counts as crashed
// only if it does not accept a new connection.
func (c *call) reportOutcome(res *sendResult, s *pendingSend) {
	q := c.h.Quarantine
	switch {
	case q == nil:
	case res.serverClosed:
		if res.responseStarted && c.h.Backend.Alive(context.WithoutCancel(c.ctx), s.permit.Server()) {
			return
		}
		c.broadcast(q.RecordCrash(time.Now(), c.fingerprint, c.crashOrigin(s)))
	case res.code == result.Served:
		if report, ok := q.Clear(time.Now(), c.fingerprint); ok {
			c.broadcast(report)
		}
	}
}

// crashOrigin describes the send that crashed a server. Of two concurrent sends
// of one request, the second counts as begun after the crash of the first: they
// went to different servers, so two crashes are no coincidence.
func (c *call) crashOrigin(s *pendingSend) quarantine.Origin {
	o := quarantine.Origin{Service: c.file.Service, Class: c.class.Name, Send: s.id, Began: s.started}
	if c.attempts > 1 {
		o.Began = time.Now()
	}
	return o
}

// broadcast sends a report to the other entries, in the background. A caller
// gets its error response only after the broadcast has ended.
func (c *call) broadcast(report quarantine.CrashReport) {
	if c.h.CrashReporter == nil {
		return
	}
	c.broadcasts.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), broadcastTimeout)
		defer cancel()
		c.h.CrashReporter.Broadcast(ctx, report)
	})
}

// allowRetry reports whether the request may be retried after a failed send. A
// failed connection is not an attempt; only maxConnectFailures of them are
// exempted, so that a request ends when no server can be reached.
func (c *call) allowRetry(res *sendResult) bool {
	unsent := res.code == result.ConnectFailed && c.connectFailures < maxConnectFailures
	if unsent {
		c.connectFailures++
		c.attempts--
	}
	try := retry.Try{Kind: c.class.Kind, Code: res.code, Sends: max(c.attempts, 1), Attempts: c.file.Retry.Attempts, Deadline: c.deadline}
	if unsent {
		try.Attempts++ // the failed connection counts as one of Sends
	}
	if !retry.Allowed(&try, time.Now()) {
		return false
	}
	if res.serverClosed && c.h.Quarantine != nil && c.h.Quarantine.Quarantined(time.Now(), c.fingerprint) {
		return false
	}
	if res.code == result.ConnectFailed {
		return c.canRetry() // it put no load on any server
	}
	return c.takeRetry()
}

// takeRetry reports whether a retry is possible and within the budget, and if
// so takes it from the budget.
func (c *call) takeRetry() bool {
	return c.canRetry() && c.h.Budget.TakeRetry(time.Now(), c.file)
}

func (c *call) canRetry() bool {
	if c.h.Budget == nil || c.ctx.Err() != nil || c.attempts >= c.file.Retry.Attempts {
		return false
	}
	return c.bufferedBody != nil || c.r.ContentLength == 0 || c.body.unread()
}

// attemptTimeout returns how long a read may make no progress before it is
// hedged or retried: the remaining time divided by the remaining sends. It is
// 0, which means no limit, for the last send, for requests that are not reads,
// and if there is no Budget.
func (c *call) attemptTimeout() time.Duration {
	sends := c.file.Retry.Attempts - c.attempts + 1
	if !c.class.Kind.Safe() || sends <= 1 || c.h.Budget == nil {
		return 0
	}
	return max(time.Until(c.deadline)/time.Duration(sends), time.Millisecond)
}

// abortConnection closes the caller's connection, so that a truncated response
// can't look complete.
func abortConnection() { panic(http.ErrAbortHandler) }
