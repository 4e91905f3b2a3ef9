package shared

import (
	"context"
	"encoding/json"
	"time"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/slots/node"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// maxRounds is the maximum number of grant messages in one exchange.
const maxRounds = 4

// poolClock adapts Homes to node.Homes, with times on the pool's clock.
type poolClock struct{ *Admitter }

// Home implements node.Homes.
func (c poolClock) Home(b wire.Bucket) (id.Instance, id.Term, bool) { return c.Homes.Home(b) }

// Authority implements node.Homes.
func (c poolClock) Authority(b wire.Bucket) (id.Term, time.Duration, bool) {
	term, until, ok := c.Homes.Authority(b)
	return term, c.Pool.At(until), ok
}

// Confirmed implements node.Homes.
func (c poolClock) Confirmed(b wire.Bucket) (id.Term, time.Duration, bool) {
	term, begun, ok := c.Homes.Confirmed(b)
	return term, c.Pool.At(begun), ok
}

// RequestTerm implements node.Homes.
func (c poolClock) RequestTerm(b wire.Bucket) { c.Homes.RequestTerm(b) }

// step returns the messages that are due.
func (a *Admitter) step() []node.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Step(a.Pool.Now())
}

// exchange sends a message and processes the response.
func (a *Admitter) exchange(ctx context.Context, msg node.Message) {
	ctx, cancel := context.WithTimeout(ctx, a.Renew)
	defer cancel()
	defer a.wakeRun()
	if msg.Report != nil {
		a.sendReport(ctx, msg)
		return
	}
	for range maxRounds {
		var r wire.Report
		if err := a.Caller.Call(ctx, msg.To.Instance, wire.MethodGrant, msg.Grant, &r); err != nil {
			a.logFailure(msg, err)
			return
		}
		a.mu.Lock()
		next, more := a.node.GrantAnswered(msg.To, &r, a.Pool.Now())
		a.mu.Unlock()
		a.wakeRun()
		if !more {
			return
		}
		msg = next
	}
}

func (a *Admitter) sendReport(ctx context.Context, msg node.Message) {
	answer := new(wire.Grant)
	if err := a.Caller.Call(ctx, msg.To.Instance, wire.MethodReport, msg.Report, answer); err != nil {
		a.logFailure(msg, err)
		answer = nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.ReportAnswered(msg.Report, answer, a.Pool.Now())
}

func (a *Admitter) logFailure(msg node.Message, err error) {
	a.Log.Debug("slots message failed", "to", msg.To.Instance, "report", msg.Report != nil, "error", err)
}

func (a *Admitter) handleReport(_ context.Context, from peer.Sender, params json.RawMessage) (any, error) {
	var r wire.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.wakeRun()
	grant, err := a.node.Report(from, &r, a.Pool.Now())
	return &grant, err
}

func (a *Admitter) handleGrant(_ context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	var g wire.Grant
	if err := json.Unmarshal(params, &g); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r, err := a.node.Grant(&g, a.Pool.Now())
	return &r, err
}
