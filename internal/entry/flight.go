package entry

import (
	"context"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// flight is one send under way. Its results may be read once done has ended.
type flight struct {
	send     string
	began    time.Time
	patience time.Duration
	cancel   context.CancelFunc
	// admitted ends when permit is set.
	admitted chan struct{}
	done     chan struct{}
	permit   admission.Permit
	ans      *backend.Response
	err      error
}

// launch starts a send to a server that was not tried.
func (c *call) launch(tried []id.Server) *flight {
	c.attempts++
	first := c.attempts == 1 && c.unconnected == 0 && c.h.Budget != nil
	f := &flight{send: c.h.sendID(), began: time.Now(), patience: c.patience(), admitted: make(chan struct{}), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(c.ctx)
	f.cancel = cancel
	req, adm := c.outgoing(), c.admission(tried)
	c.h.running.Add(1)
	go func() {
		defer c.h.running.Add(-1)
		defer close(f.done)
		if f.permit, f.err = c.h.Admitter.Admit(ctx, adm); f.err != nil {
			f.permit = nil
			return
		}
		f.began = time.Now()
		close(f.admitted)
		if first {
			c.h.Budget.First(f.began, c.file)
		}
		if p, ok := f.permit.(admission.Paced); ok && req.Body != nil {
			req.Body = &pacedBody{ReadCloser: req.Body, ctx: ctx, permit: p}
		}
		f.ans, f.err = c.h.Backend.Send(ctx, &backend.Request{Server: f.permit.Server(), HTTP: req, ID: f.send, ReadStallTimeout: f.patience})
	}()
	return f
}

// race waits for the flight. If it is a read that gets no answer within its
// patience, its connection may be silent or its server slow: a second flight
// goes to another server, and the first answer counts. It returns the flight
// that counts, and the servers that were tried.
func (c *call) race(first *flight, tried []id.Server) (*flight, []id.Server) {
	select {
	case <-first.admitted:
	case <-first.done:
	}
	if first.patience > 0 && !endedWithin(first, first.patience) && c.mayResend() {
		return c.hedge(first, tried)
	}
	<-first.done
	return first, first.server()
}

func (c *call) hedge(first *flight, tried []id.Server) (*flight, []id.Server) {
	used := first.server()
	second := c.launch(append(append([]id.Server(nil), tried...), used...))
	won, lost := first, second
	select {
	case <-first.done:
	case <-second.done:
		won, lost = second, first
	}
	if won.err != nil {
		// It failed, so that the other counts.
		if won.permit != nil {
			c.settle(nil, won)
		} else {
			c.attempts--
			won.cancel()
		}
		<-lost.done
		return lost, append(used, second.server()...)
	}
	c.abandon(lost)
	return won, append(used, second.server()...)
}

// abandon ends a flight whose answer is not waited for. Its connection may be
// silent, so that the kept connections to its server are not trusted any more.
func (c *call) abandon(f *flight) {
	f.cancel()
	c.h.running.Add(1)
	go func() {
		defer c.h.running.Add(-1)
		<-f.done
		if f.permit == nil {
			return
		}
		e := ending{code: result.ConnectionSilent}
		if f.err == nil {
			e.latency, e.end = f.ans.Latency, f.ans.Close()
		} else if e = c.failure(f.err); e.code == result.CallerGone {
			e.code = result.ConnectionSilent
		}
		c.h.Backend.CloseIdleTo(f.permit.Server())
		c.release(f, &e)
	}()
}

// server returns the name of the flight's server, if it has a permit. It may
// be called once the flight is admitted or done.
func (f *flight) server() []id.Server {
	select {
	case <-f.admitted:
		return []id.Server{f.permit.Server().Name}
	default:
		return nil
	}
}

// endedWithin tells whether the flight ended within d.
func endedWithin(f *flight, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-f.done:
		return true
	case <-t.C:
		return false
	}
}
