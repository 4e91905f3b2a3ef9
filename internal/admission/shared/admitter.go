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

// Times for fields that are zero.
const (
	DefaultLifetime = 2 * time.Second
	DefaultRenew    = 500 * time.Millisecond
	DefaultMargin   = 500 * time.Millisecond

	tick = 10 * time.Millisecond
)

type (
	// Homes tells who is home of the buckets. It is safe for concurrent use
	// and answers from memory.
	Homes interface {
		// Home returns the home of a bucket and its term, as last known.
		Home(wire.Bucket) (id.Instance, id.Term, bool)
		// Authority returns the term in which this entry is home of a bucket
		// and the time from which it isn't any more unless it renews its
		// lease; false if it isn't now.
		Authority(wire.Bucket) (id.Term, time.Time, bool)
		// Confirmed returns the term that the last successful read of the
		// store showed for a bucket, and when that read began.
		Confirmed(wire.Bucket) (id.Term, time.Time, bool)
		// Raise asks for a new term of a bucket that this entry is home of. It
		// returns at once; Authority tells the new term once the store has it.
		Raise(wire.Bucket)
	}

	// Admitter permits sends within granted slots. Its exported fields are set
	// before its first use.
	Admitter struct {
		// Pool hands out the slots of this entry. Its Starved is set by
		// Configure.
		Pool pool.Pool
		// Self names this process.
		Self peer.Sender
		// Caller reaches the other entries.
		Caller peer.Caller
		// Homes tells who is home.
		Homes Homes
		// Distance returns the one-way delay to an availability zone; nil
		// means that all are equally near.
		Distance func(id.Zone) time.Duration
		// Entries is the number of entries among which a server's connections
		// are divided.
		Entries int
		// Lifetime is how long a grant lives after its renewal.
		Lifetime time.Duration
		// Renew is the time between two reports to a home.
		Renew time.Duration
		// Margin is added to the longest deadline of a service.
		Margin time.Duration
		// Demand sets the reserve kept of each service.
		Demand demand.Policy
		// Log gets a line for what fails; nil means none.
		Log *slog.Logger

		mu     sync.Mutex
		node   node.Node
		closed map[pool.Key]bool
		wake   chan struct{}
	}
)

// Admit implements admission.Admitter.
func (a *Admitter) Admit(ctx context.Context, req *admission.Request) (admission.Permit, error) {
	return a.Pool.Admit(ctx, req)
}

// Configure sets the services by the files now in force. A server that no file
// names, or that is leaving, gets no new requests.
func (a *Admitter) Configure(files []*service.File) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.defaults()
	a.node.Configure(node.Plan(files, a.Entries, a.Margin), a.Pool.Now())
	a.close(files)
	a.rouse()
}

// Handlers returns the handlers of the messages between entries, by method.
func (a *Admitter) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{wire.MethodReport: a.handleReport, wire.MethodGrant: a.handleGrant}
}

// Leave makes the entry give away all slots that aren't in use, as before a
// planned stop. Requests that wait still get slots as others come free.
func (a *Admitter) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.defaults()
	a.node.Leaving = true
	a.rouse()
}

// Handed tells, after Leave, whether all but what is in use has been given
// away. The leases of the buckets may then be released, and should be: their
// next homes learn of every slot.
func (a *Admitter) Handed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Handed()
}

// Run exchanges messages with the other entries until ctx ends.
func (a *Admitter) Run(ctx context.Context) {
	a.mu.Lock()
	a.defaults()
	wake := a.wake
	a.mu.Unlock()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		for _, s := range a.step() {
			calls.Go(func() { a.carry(ctx, s) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
	}
}

func (a *Admitter) defaults() {
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
	a.Pool.OnWait = func(*admission.Request) { a.rouse() }
	a.node = node.Node{
		Self: a.Self, Homes: clocked{a}, Distance: a.Distance, Waiting: a.Pool.Waiting,
		Lifetime: a.Lifetime, Renew: a.Renew, Demand: a.Demand,
		Gate:  func(svc id.Service, s id.Server) *gate.Gate { return a.Pool.Set(pool.Key{Service: svc, Server: s}) },
		Offer: func(svc id.Service, s id.Server) { a.Pool.Offer(pool.Key{Service: svc, Server: s}) },
	}
}

// close shuts the gates of servers that are leaving or named no more.
func (a *Admitter) close(files []*service.File) {
	open := map[pool.Key]bool{}
	for _, f := range files {
		for i := range f.Servers {
			key := pool.Key{Service: f.Service, Server: f.Servers[i].Name}
			open[key] = !f.Servers[i].Leaving
		}
	}
	for key := range a.closed {
		if !open[key] {
			a.Pool.Set(key).SetClosed(true)
		}
	}
	for key, ok := range open {
		a.Pool.Set(key).SetClosed(!ok)
	}
	a.closed = open
}

// rouse makes Run look again.
func (a *Admitter) rouse() {
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
