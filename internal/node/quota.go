package node

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/datagram"
	"github.com/shallotpier/shallotpier/internal/entryview"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/organisation"
	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/internal/quota/authority"
	"github.com/shallotpier/shallotpier/internal/quota/limiter"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// firstStartSpan is how far apart the starts of all processes are at most when the whole
	// system starts for the first time; it includes the difference of their clocks.
	firstStartSpan = time.Minute
	// maxQuotaStates is the greatest number of organisations in a view.
	maxQuotaStates = 200
)

// quotas enforces the limits of organisations at this entry.
type quotas struct {
	limiter.Limiter

	mu   sync.Mutex
	rule authority.Rule
	left bool
	// registered holds the registered entries by their address for heartbeats.
	registered map[netip.AddrPort]heartbeat.Node
}

// newQuotas connects the quotas with the handler and the exchange of questions.
func (n *Node) newQuotas() *quotas {
	q := &quotas{Limiter: limiter.Limiter{Clock: boottime.System(), Log: n.options.Log, Metrics: n.options.Metrics}}
	q.Send = func(ctx context.Context, to netip.AddrPort, question []byte) ([]byte, error) {
		return n.questions.Ask(ctx, to, datagram.Quota, question)
	}
	n.questions.Handle(datagram.Quota, q.Handle)
	n.handler.Quota = &q.Limiter
	return q
}

// limitsOf returns the limits of organisations.
func limitsOf(t *organisation.Table) []quota.Organisation {
	all := t.All()
	limits := make([]quota.Organisation, len(all))
	for i, o := range all {
		limits[i] = quota.Organisation{Name: o.Name, Rate: o.Rate, Burst: o.Burst}
	}
	return limits
}

// MarkRegistered records that this process has registered the instance in the store, and for how
// long the instance has been registered.
func (n *Node) MarkRegistered(age time.Duration) {
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.rule.Registered(n.quotas.Clock(), age)
}

// AddRegistered records the addresses of a registered entry for heartbeats and for questions.
// After a start of many entries it takes a second until all of them have been heard.
func (n *Node) AddRegistered(peers, relay netip.AddrPort, region id.Region) {
	if !relay.IsValid() {
		return
	}
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	if n.quotas.registered == nil {
		n.quotas.registered = make(map[netip.AddrPort]heartbeat.Node)
	}
	n.quotas.registered[peers] = heartbeat.Node{Peers: peers, Relay: relay, Region: region}
}

// unheard returns the known entries that are registered and may be alive, but haven't been
// heard because this process has just started.
func (n *Node) unheard(now time.Time, known []netip.AddrPort) []heartbeat.Node {
	if now.Sub(n.started) >= n.options.HeartbeatTimeout {
		return nil
	}
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	var out []heartbeat.Node
	for _, peers := range known {
		other, registered := n.quotas.registered[peers]
		if _, heard := n.Heartbeats.SilentFor(now, peers); registered && !heard {
			out = append(out, other)
		}
	}
	return out
}

// leave ends the granting of tokens, before the entry gives up its registration.
func (q *quotas) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.left = true
	q.SetGranting(false)
}

// stepQuotas applies the lists of known and live entries.
func (n *Node) stepQuotas(now time.Time) {
	q := n.quotas
	if !n.bounds.Load().Quota.Enabled() {
		return
	}
	known, alive := n.Heartbeats.KnownPeers(), n.Heartbeats.Alive(now)
	q.SetEntries(n.options.Self.Peers, known)
	asked := append(n.unheard(now, known), alive...)
	live := make([]limiter.Entry, len(asked))
	for i := range asked {
		live[i] = limiter.Entry{Peers: asked[i].Peers, Address: asked[i].Relay, Distance: n.distance(&asked[i])}
	}
	q.SetLive(live)
	q.mu.Lock()
	q.SetGranting(n.mayGrant(len(known)+1, alive))
	q.mu.Unlock()
	q.Step()
}

// MayGrant reports whether this entry may grant tokens of organisations' limits.
func (n *Node) MayGrant() bool {
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	return n.mayGrant(len(n.Heartbeats.KnownPeers())+1, n.Heartbeats.Alive(time.Now()))
}

// mayGrant is MayGrant for a caller that holds the lock.
func (n *Node) mayGrant(entries int, alive []heartbeat.Node) bool {
	q := n.quotas
	return q.rule.MayGrant(q.Clock(), authority.State{Listed: n.entriesListed.Load(), Entries: entries, FirstStart: n.firstStart(alive), Left: q.left})
}

// firstStart reports whether the whole system starts for the first time: the settings say so,
// and all processes have started at about the same time.
func (n *Node) firstStart(alive []heartbeat.Node) bool {
	for i := range alive {
		apart := time.Duration(int64(alive[i].Incarnation)-int64(n.options.Self.Incarnation)) * time.Millisecond
		if apart.Abs() > firstStartSpan {
			return false
		}
	}
	return n.options.FirstStart
}

// distance orders entries by nearness.
func (n *Node) distance(other *heartbeat.Node) int {
	switch {
	case other.Zone == n.options.Self.Zone:
		return 0
	case other.Region == n.options.Self.Region:
		return 1
	default:
		return 2
	}
}

// quotaStates returns the states of the organisations that are limited here, or that this
// entry is accountable for.
func (n *Node) quotaStates() []entryview.Quota {
	all := n.quotas.States()
	var out []entryview.Quota
	for _, limited := range []bool{true, false} {
		for i := range all {
			if s := &all[i]; (s.LimitedFor > 0) == limited && len(out) < maxQuotaStates {
				out = append(out, entryview.Quota{
					Organisation: s.Organisation, Rate: s.Rate, Burst: s.Burst, LimitedFor: s.LimitedFor, Parts: s.Parts,
					Demand: s.Demand, Granted: s.Granted, Exceeded: s.Exceeded, Unavailable: s.Unavailable, Lent: s.Lent,
				})
			}
		}
	}
	return out
}
