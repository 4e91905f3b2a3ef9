package shared

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/admission/pool"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/slots/demand"
	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/internal/slots/node"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Defaults for fields of [Admitter] that are zero.
const (
	DefaultLifetime = 2 * time.Second
	DefaultRenew    = 500 * time.Millisecond
	DefaultMargin   = 500 * time.Millisecond

	// tick is the interval at which Run looks for messages to send.
	tick = 10 * time.Millisecond
)

type (
	// Homes provides the home entries of buckets. It is safe for concurrent
	// use, and its methods don't block on I/O.
	Homes interface {
		// Home returns the last known home entry of a bucket and its term.
		Home(wire.Bucket) (id.Instance, id.Term, bool)
		// Authority returns the term in which this entry is the home of a
		// bucket and the time at which its lease expires unless it is
		// renewed; false if this entry is not the home now.
		Authority(wire.Bucket) (id.Term, time.Time, bool)
		// Confirmed returns the term of a bucket according to the last
		// successful read of the store, and the time at which that read began.
		Confirmed(wire.Bucket) (id.Term, time.Time, bool)
		// RequestTerm requests a new term for a bucket whose home is this
		// entry. It doesn't wait; Authority returns the new term once it is in
		// the store.
		RequestTerm(wire.Bucket)
	}

	// Admitter admits requests within granted slots. Its exported fields must
	// be set before its first use.
	Admitter struct {
		// Pool allocates the slots of this entry. Its OnWait is set by
		// Configure.
		Pool pool.Pool
		// Self identifies this process.
		Self peer.Sender
		// Caller sends messages to the other entries.
		Caller peer.Caller
		// Homes provides the home entries of buckets.
		Homes Homes
		// Distance returns the one-way delay to an availability zone. If it is
		// nil, all zones are equally near.
		Distance func(id.Zone) time.Duration
		// Entries is the number of entries among which the connections of a
		// server are divided.
		Entries int
		// Lifetime is how long a grant is valid after its renewal.
		Lifetime time.Duration
		// Renew is the interval between two reports to a home entry.
		Renew time.Duration
		// Margin is added to the longest deadline of a service.
		Margin time.Duration
		// Demand determines the reserve of free slots kept for each service.
		Demand demand.Policy
		// Log receives failed messages; nil disables logging.
		Log *slog.Logger

		mu   sync.Mutex
		node node.Node
		open map[pool.Key]bool
		wake chan struct{}
	}
)

// Admit implements admission.Admitter.
func (a *Admitter) Admit(ctx context.Context, req *admission.Request) (admission.Permit, error) {
	return a.Pool.Admit(ctx, req)
}

// Configure sets the services from the active service files. A server that is
// leaving, or in none of the files, gets no new requests.
func (a *Admitter) Configure(files []*service.File) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setDefaults()
	a.node.Configure(node.Plan(files, a.Entries, a.Margin), a.Pool.Now())
	a.setGates(files)
	a.wakeRun()
}

// Handlers returns the handlers for messages from other entries, by method.
func (a *Admitter) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{wire.MethodReport: a.handleReport, wire.MethodGrant: a.handleGrant}
}

// Leave makes the entry return all slots that aren't in use, before a graceful
// shutdown. Waiting requests still get slots as they become free.
func (a *Admitter) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setDefaults()
	a.node.Leaving = true
	a.wakeRun()
}

// UnusedReturned reports, after Leave, whether all slots that aren't in use have
// been returned. The leases of the buckets may and should then be released: the
// next home entries are informed of every slot.
func (a *Admitter) UnusedReturned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Drained()
}

// Run exchanges messages with the other entries until ctx is done.
func (a *Admitter) Run(ctx context.Context) {
	a.mu.Lock()
	a.setDefaults()
	wake := a.wake
	a.mu.Unlock()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		for _, msg := range a.step() {
			calls.Go(func() { a.exchange(ctx, msg) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
	}
}

func (a *Admitter) setDefaults() {
	if a.wake != nil {
		return
	}
	a.wake = make(chan struct{}, 1)
	a.Lifetime = orDefault(a.Lifetime, DefaultLifetime)
	a.Renew = orDefault(a.Renew, DefaultRenew)
	a.Margin = orDefault(a.Margin, DefaultMargin)
	if a.Demand == (demand.Policy{}) {
		a.Demand = demand.Default()
	}
	if a.Log == nil {
		a.Log = slog.New(slog.DiscardHandler)
	}
	a.Entries = max(a.Entries, 1)
	a.Pool.OnWait = func(*admission.Request) { a.wakeRun() }
	a.node = node.Node{
		Self: a.Self, Homes: poolClock{a}, Distance: a.Distance, Waiting: a.Pool.Waiting,
		Lifetime: a.Lifetime, Renew: a.Renew, Demand: a.Demand,
		Gate: func(svc id.Service, s id.Server) *gate.Gate {
			return a.Pool.EnsureGate(pool.Key{Service: svc, Server: s})
		},
		Offer: func(svc id.Service, s id.Server) { a.Pool.Offer(pool.Key{Service: svc, Server: s}) },
	}
}

// setGates closes the gates of servers that are leaving or no longer configured,
// and opens the others.
func (a *Admitter) setGates(files []*service.File) {
	open := map[pool.Key]bool{}
	for _, f := range files {
		for i := range f.Servers {
			key := pool.Key{Service: f.Service, Server: f.Servers[i].Name}
			open[key] = !f.Servers[i].Leaving
		}
	}
	for key := range a.open {
		if !open[key] {
			a.Pool.EnsureGate(key).SetClosed(true)
		}
	}
	for key, ok := range open {
		a.Pool.EnsureGate(key).SetClosed(!ok)
	}
	a.open = open
}

// wakeRun makes Run look for messages to send before the next tick.
func (a *Admitter) wakeRun() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func orDefault(d, other time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return other
}
