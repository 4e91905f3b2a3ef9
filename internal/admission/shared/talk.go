package shared

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/slots/demand"
	"github.com/shallotpier/shallotpier/internal/slots/ledger"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// maxRounds bounds the messages that follow one push.
const maxRounds = 4

// call is a message to send and what to do with its answer.
type call func(ctx context.Context)

// step looks at all buckets and returns the calls to make.
func (a *Admitter) step() []call {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Pool.Now()
	var calls []call
	for _, b := range a.order {
		b.govern(a, now)
		b.follow(a, now)
		calls = append(calls, a.pushes(b)...)
	}
	for first := 0; first < len(a.order); {
		last := first
		for last < len(a.order) && a.order[last].key.Service == a.order[first].key.Service {
			last++
		}
		calls = append(calls, a.balance(a.order[first:last], now)...)
		first = last
	}
	return calls
}

// balance asks for and gives back slots of one service.
func (a *Admitter) balance(buckets []*bucket, now time.Duration) []call {
	waiting := a.Pool.Waiting(buckets[0].key.Service)
	views := make([]demand.Bucket, 0, len(buckets))
	for _, b := range buckets {
		views = append(views, b.view(a, now, waiting))
	}
	wants := a.Demand.Wants(waiting, views, nil)
	returns := a.Demand.Returns(waiting, views, nil)
	var calls []call
	for i, b := range buckets {
		if views[i].Due && returns[i] > 0 {
			b.holder.Return(returns[i])
		}
		if (views[i].Due || wants[i] > 0) && !views[i].Busy {
			calls = append(calls, a.report(b, now, wants[i], waiting)...)
		}
	}
	return calls
}

// report sends a report, to this entry itself if it is home.
func (a *Admitter) report(b *bucket, now time.Duration, want, waiting int) []call {
	home, _, ok := a.Homes.Home(b.key)
	if !ok || b.holder.Term() == 0 {
		return nil
	}
	r := b.holder.Report(now, want, waiting)
	b.reported, b.urgent = now, false
	if home == a.Self.Instance {
		if b.ledger == nil {
			return nil
		}
		grant, err := b.ledger.Report(a.Self, &r, now)
		calls := a.pushes(b)
		if err == nil {
			a.book(b, &grant, now)
		}
		return calls
	}
	b.busy, b.asked = true, want
	return []call{func(ctx context.Context) { a.ask(ctx, b, home, &r) }}
}

func (a *Admitter) ask(ctx context.Context, b *bucket, home id.Instance, r *wire.Report) {
	ctx, cancel := context.WithTimeout(ctx, a.Renew)
	defer cancel()
	var grant wire.Grant
	err := a.Caller.Call(ctx, home, wire.MethodReport, r, &grant)
	a.mu.Lock()
	defer a.mu.Unlock()
	b.busy, b.asked = false, 0
	if err != nil {
		a.Log.Debug("slots report failed", "service", b.key.Service, "zone", b.key.Zone, "home", home, "error", err)
		return
	}
	a.book(b, &grant, a.Pool.Now())
	a.rouse()
}

// book takes a grant and gives back what it recalls, unless requests wait.
func (a *Admitter) book(b *bucket, grant *wire.Grant, now time.Duration) {
	if raised := b.holder.Grant(grant, now); len(raised) > 0 {
		b.offer(a, raised)
	}
	if grant.Recall > 0 && a.Pool.Waiting(b.key.Service) == 0 && b.holder.Return(grant.Recall) > 0 {
		b.urgent = true
		a.rouse()
	}
}

// pushes returns the calls for the grants that the home sends on its own.
func (a *Admitter) pushes(b *bucket) []call {
	if b.ledger == nil {
		return nil
	}
	var calls []call
	for _, p := range b.ledger.Pushes() {
		if p.To.Instance == a.Self.Instance {
			if p.To == a.Self {
				a.book(b, &p.Grant, a.Pool.Now())
			}
			continue
		}
		calls = append(calls, func(ctx context.Context) { a.push(ctx, b, p) })
	}
	return calls
}

// push sends a grant, takes the report that answers it, and goes on while
// there is news for the holder.
func (a *Admitter) push(ctx context.Context, b *bucket, p ledger.Push) {
	ctx, cancel := context.WithTimeout(ctx, a.Renew)
	defer cancel()
	for range maxRounds {
		var r wire.Report
		if err := a.Caller.Call(ctx, p.To.Instance, wire.MethodGrant, &p.Grant, &r); err != nil {
			a.Log.Debug("slots grant failed", "service", b.key.Service, "zone", b.key.Zone, "holder", p.To.Instance, "error", err)
			return
		}
		a.mu.Lock()
		grant, err := b.ledger.Report(p.To, &r, a.Pool.Now())
		a.mu.Unlock()
		a.rouse()
		if err != nil || !news(&grant, &r) {
			return
		}
		p.Grant = grant
	}
}

// news tells whether a grant says more than the holder's report knew.
func news(grant *wire.Grant, r *wire.Report) bool {
	seen := map[id.Server]uint64{}
	for i := range r.Servers {
		seen[r.Servers[i].Server] = r.Servers[i].Seen
	}
	for i := range grant.Servers {
		if g := &grant.Servers[i]; g.Given > seen[g.Server] {
			return true
		}
	}
	return grant.Recall > 0
}

func (a *Admitter) handleReport(_ context.Context, from peer.Sender, params json.RawMessage) (any, error) {
	var r wire.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[r.Bucket]
	if b == nil || b.ledger == nil {
		return nil, ledger.ErrNotHome
	}
	grant, err := b.ledger.Report(from, &r, a.Pool.Now())
	a.rouse()
	return &grant, err
}

func (a *Admitter) handleGrant(_ context.Context, from peer.Sender, params json.RawMessage) (any, error) {
	var g wire.Grant
	if err := json.Unmarshal(params, &g); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[g.Bucket]
	if b == nil {
		return nil, eris.Errorf("%q sent a grant on a bucket that is not known", from.Instance)
	}
	now := a.Pool.Now()
	a.book(b, &g, now)
	want, waiting := a.short(b.key.Service, now)
	return b.holder.Report(now, want, waiting), nil
}

// short returns how many slots of a service this entry lacks, and how many
// requests wait for one.
func (a *Admitter) short(svc id.Service, now time.Duration) (want, waiting int) {
	waiting = a.Pool.Waiting(svc)
	want = waiting + a.Demand.Low
	for _, b := range a.order {
		if b.key.Service == svc {
			v := b.view(a, now, waiting)
			want -= v.Idle + v.Asked
		}
	}
	return max(0, want), waiting
}
