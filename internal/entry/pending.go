package entry

import (
	"context"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// pendingSend is one send in progress. Its results may be read once done is
// closed.
type pendingSend struct {
	id      string
	started time.Time
	timeout time.Duration
	cancel  context.CancelFunc
	// admitted is closed when permit is set.
	admitted chan struct{}
	done     chan struct{}
	permit   admission.Permit
	resp     *backend.Response
	err      error
}

// startSend starts a send to a server that has not been tried.
func (c *call) startSend(tried []id.Server) *pendingSend {
	c.attempts++
	first := c.attempts == 1 && c.connectFailures == 0 && c.h.Budget != nil
	s := &pendingSend{id: c.h.sendID(), started: time.Now(), timeout: c.attemptTimeout(), admitted: make(chan struct{}), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(c.ctx)
	s.cancel = cancel
	req, adm := c.outgoingRequest(), c.admissionRequest(tried)
	c.h.running.Add(1)
	go func() {
		defer c.h.running.Add(-1)
		defer close(s.done)
		if s.permit, s.err = c.h.Admitter.Admit(ctx, adm); s.err != nil {
			s.permit = nil
			return
		}
		s.started = time.Now()
		close(s.admitted)
		if first {
			c.h.Budget.CountFirst(s.started, c.file)
		}
		if p, ok := s.permit.(admission.Paced); ok && req.Body != nil {
			req.Body = &pacedBody{ReadCloser: req.Body, ctx: ctx, permit: p}
		}
		s.resp, s.err = c.h.Backend.Send(ctx, &backend.Request{Server: s.permit.Server(), HTTP: req, ID: s.id, ReadStallTimeout: s.timeout})
	}()
	return s
}

// awaitOrHedge waits for the send. A read that gets no response header within
// its timeout may have a stalled connection or a slow server: it is hedged by a
// second send to another server, and the first response is used. It returns the
// send to use and the servers that were tried.
func (c *call) awaitOrHedge(first *pendingSend, tried []id.Server) (*pendingSend, []id.Server) {
	select {
	case <-first.admitted:
	case <-first.done:
	}
	if first.timeout > 0 && !doneWithin(first, first.timeout) && c.takeRetry() {
		return c.hedge(first, tried)
	}
	<-first.done
	return first, first.usedServer()
}

func (c *call) hedge(first *pendingSend, tried []id.Server) (*pendingSend, []id.Server) {
	used := first.usedServer()
	second := c.startSend(append(append([]id.Server(nil), tried...), used...))
	winner, loser := first, second
	select {
	case <-first.done:
	case <-second.done:
		winner, loser = second, first
	}
	if winner.err != nil {
		// The first to end failed; the other one is used.
		if winner.permit != nil {
			c.finishSend(nil, winner)
		} else {
			c.attempts--
			winner.cancel()
		}
		<-loser.done
		return loser, append(used, second.usedServer()...)
	}
	c.abandon(loser)
	return winner, append(used, second.usedServer()...)
}

// abandon cancels a send whose response is no longer awaited. It also closes
// the idle connections to the server, since the connection may have stalled and
// others with it.
func (c *call) abandon(s *pendingSend) {
	s.cancel()
	c.h.running.Add(1)
	go func() {
		defer c.h.running.Add(-1)
		<-s.done
		if s.permit == nil {
			return
		}
		res := sendResult{code: result.ConnectionSilent}
		if s.err == nil {
			res.latency, res.pendingClose = s.resp.Latency, s.resp.Close()
		} else if res = c.sendFailure(s.err); res.code == result.CallerGone {
			res.code = result.ConnectionSilent
		}
		c.h.Backend.CloseIdleTo(s.permit.Server())
		c.releasePermit(s, &res)
	}()
}

// usedServer returns the name of the server if the send has a permit. It may be
// called once the send is admitted or done.
func (s *pendingSend) usedServer() []id.Server {
	select {
	case <-s.admitted:
		return []id.Server{s.permit.Server().Name}
	default:
		return nil
	}
}

// doneWithin reports whether the send ends within d.
func doneWithin(s *pendingSend, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.done:
		return true
	case <-t.C:
		return false
	}
}
