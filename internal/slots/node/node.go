package node

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/slots/demand"
	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/internal/slots/ledger"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// waitingRenew is the maximum time between two reports while requests wait.
	waitingRenew = 50 * time.Millisecond
	// reserveGap is the minimum time between two reports while none wait.
	reserveGap = 20 * time.Millisecond
	// waitingGap is the minimum time between two reports while requests wait.
	waitingGap = 5 * time.Millisecond

	// askedTTL is how long slots that were asked for count as expected.
	askedTTL = 100 * time.Millisecond

	// scatterAbove is the MaxRequestTime above which homes keep no free
	// slots: after the failure of a home they would be unusable for that long.
	scatterAbove = time.Minute
)

type (
	// Homes looks up the homes of the buckets. Times are on the Node's clock.
	Homes interface {
		// Home returns the last known home of a bucket and its term.
		Home(wire.Bucket) (id.Instance, id.Term, bool)
		// Authority returns the term in which this entry is home of a bucket
		// and the time at which its lease expires unless it is renewed; false
		// if it is not the home now.
		Authority(wire.Bucket) (id.Term, time.Duration, bool)
		// Confirmed returns the term that the last successful read of the
		// store showed for a bucket, and when that read began.
		Confirmed(wire.Bucket) (id.Term, time.Duration, bool)
		// RequestTerm requests a new term of a bucket that this entry is home
		// of. Authority returns the new term once it is written to the store.
		RequestTerm(wire.Bucket)
	}

	// Node is the slot sharing of one entry. Its exported fields are set before
	// its first use. It is not safe for concurrent use, except for its gates.
	Node struct {
		// Self identifies this process.
		Self peer.Sender
		// Homes looks up the homes of the buckets.
		Homes Homes
		// Gate returns the gate of a server, the same one at each call.
		Gate func(id.Service, id.Server) *gate.Gate
		// Offer offers the free slots of a server to waiting requests.
		Offer func(id.Service, id.Server)
		// Waiting returns how many requests wait for a service.
		Waiting func(id.Service) int
		// Distance returns the one-way network delay to an availability zone;
		// nil means that all zones are equally near.
		Distance func(id.Zone) time.Duration
		// Lifetime is how long a grant is valid after its renewal; it must be
		// the same at all entries.
		Lifetime time.Duration
		// Renew is the time between two reports to a home.
		Renew time.Duration
		// Demand sets the reserve of idle slots of each service.
		Demand demand.Policy
		// Leaving makes the Node return its idle slots, and grant the free
		// slots of its own buckets to the other entries. It may be set at any
		// time.
		Leaving bool

		buckets map[wire.Bucket]*bucket
		order   []*bucket
	}

	// Message is a message to another entry: a Report, whose answer is passed to
	// ReportAnswered, or a Grant, whose answer is passed to GrantAnswered.
	Message struct {
		// To is the receiver. Its incarnation is known for a Grant only.
		To peer.Sender
		// Report is set in a message to a home.
		Report *wire.Report
		// Grant is set in a message to a holder.
		Grant *wire.Grant
	}
)

// ErrUnknownBucket means that the bucket is in no service file of the active
// configuration.
var ErrUnknownBucket = eris.New("bucket is not known")

// Configure sets the buckets. A bucket that is not in plans is left without slots.
func (n *Node) Configure(plans map[wire.Bucket]*BucketPlan, now time.Duration) {
	if n.buckets == nil {
		n.buckets = map[wire.Bucket]*bucket{}
	}
	for key, p := range plans {
		if n.buckets[key] == nil {
			b := newBucket(n, key)
			n.buckets[key] = b
			n.order = append(n.order, b)
		}
		n.buckets[key].configure(p, now)
	}
	slices.SortFunc(n.order, func(x, y *bucket) int { return x.compare(y) })
	for key, b := range n.buckets {
		if plans[key] == nil {
			b.configure(&BucketPlan{MaxRequestTime: b.plan.MaxRequestTime}, now)
		}
	}
}

// Step updates all buckets and returns the messages to send.
func (n *Node) Step(now time.Duration) []Message {
	var messages []Message
	for _, b := range n.order {
		b.updateLedger(n, now)
		b.updateHolder(n, now)
		messages = append(messages, n.pushes(b, now)...)
	}
	for first := 0; first < len(n.order); {
		last := first
		for last < len(n.order) && n.order[last].key.Service == n.order[first].key.Service {
			last++
		}
		messages = append(messages, n.balance(n.order[first:last], now)...)
		first = last
	}
	return messages
}

// ReportAnswered applies the answer to a report that Step returned, nil if there
// was none.
func (n *Node) ReportAnswered(r *wire.Report, grant *wire.Grant, now time.Duration) {
	b := n.buckets[r.Bucket]
	if b == nil {
		return
	}
	b.busy, b.asked, b.unresponsive = false, 0, grant == nil
	if grant != nil {
		n.applyGrant(b, grant, now)
	}
}

// GrantAnswered applies the report that answers a grant. It returns the next grant
// to the same holder, if that grant gives it slots that it has not seen.
func (n *Node) GrantAnswered(to peer.Sender, r *wire.Report, now time.Duration) (Message, bool) {
	grant, err := n.Report(to, r, now)
	if err != nil || !hasNewSlots(&grant, r) {
		return Message{}, false
	}
	return Message{To: to, Grant: &grant}, true
}

// Report applies a holder's report to this entry as home and returns the answer.
func (n *Node) Report(from peer.Sender, r *wire.Report, now time.Duration) (wire.Grant, error) {
	b := n.buckets[r.Bucket]
	if b == nil || b.ledger == nil {
		return wire.Grant{}, ledger.ErrNotHome
	}
	return b.ledger.Report(from, r, now)
}

// Grant applies a grant that a home pushed, and returns the report that answers
// it.
func (n *Node) Grant(g *wire.Grant, now time.Duration) (wire.Report, error) {
	b := n.buckets[g.Bucket]
	if b == nil {
		return wire.Report{}, ErrUnknownBucket
	}
	n.applyGrant(b, g, now)
	waiting := n.unmet(b.key.Service, now)
	r := b.holder.Report(now, waiting, waiting)
	r.Leaving = n.Leaving
	return r, nil
}

// Drained reports whether a Node that is leaving has returned all idle slots and
// has granted all free slots of its buckets, so that its leases may be released.
func (n *Node) Drained() bool {
	for _, b := range n.order {
		if limit, used := b.holder.Counts(); limit > used {
			return false
		}
		if _, _, ok := n.Homes.Authority(b.key); ok && b.ledger != nil && b.ledger.Free() > 0 {
			return false
		}
	}
	return n.Leaving
}

// Reserved returns how many slots of this entry's own buckets are unavailable to
// all live holders, and of how many buckets it is the home.
func (n *Node) Reserved(now time.Duration) (slots, homes int) {
	for _, b := range n.order {
		if _, _, ok := n.Homes.Authority(b.key); ok && b.ledger != nil {
			slots += b.ledger.Reserved(now)
			homes++
		}
	}
	return slots, homes
}

// unmet returns how many waiting requests of a service exceed the slots that this
// entry has idle or has asked for.
func (n *Node) unmet(svc id.Service, now time.Duration) int {
	unmet := n.Waiting(svc)
	for _, b := range n.order {
		if b.key.Service == svc {
			v := b.view(n, now, unmet)
			unmet -= v.Idle + v.Asked
		}
	}
	return max(0, unmet)
}

// balance requests and returns slots of one service.
func (n *Node) balance(buckets []*bucket, now time.Duration) []Message {
	waiting := n.Waiting(buckets[0].key.Service)
	views := make([]demand.Bucket, 0, len(buckets))
	for _, b := range buckets {
		views = append(views, b.view(n, now, waiting))
	}
	policy := n.Demand
	if n.Leaving {
		policy = demand.Policy{}
	}
	wants := policy.Wants(waiting, views, nil)
	returns := policy.Returns(waiting, views, nil)
	var messages []Message
	for i, b := range buckets {
		if !views[i].Busy && (!b.keep || n.Leaving) && returns[i] > 0 && b.holder.Return(returns[i]) > 0 {
			views[i].Due = true
		}
		if waiting == 0 && b.owed > 0 && b.holder.Return(b.owed) > 0 {
			b.owed = 0
			views[i].Due, views[i].Busy = true, b.busy
		}
		if (views[i].Due || wants[i] > 0) && !views[i].Busy {
			messages = append(messages, n.report(b, now, wants[i], waiting)...)
		}
	}
	return messages
}

// report creates a report to the home, and applies it directly if this entry is
// the home. While the home's term is not known the report has term 0, and the
// answer contains the term.
func (n *Node) report(b *bucket, now time.Duration, want, waiting int) []Message {
	home, _, ok := n.Homes.Home(b.key)
	if !ok || (home == n.Self.Instance && b.holder.Term() == 0) {
		return nil
	}
	r := b.holder.Report(now, want, waiting)
	r.Leaving = n.Leaving
	b.lastReport, b.urgent = now, false
	if home != n.Self.Instance {
		b.busy, b.asked = true, want
		return []Message{{To: peer.Sender{Instance: home}, Report: &r}}
	}
	grant, err := n.Report(n.Self, &r, now)
	if err != nil {
		return nil
	}
	messages := n.pushes(b, now)
	n.applyGrant(b, &grant, now)
	return messages
}

// applyGrant applies a grant and returns the slots that it recalls, unless
// requests wait.
func (n *Node) applyGrant(b *bucket, grant *wire.Grant, now time.Duration) {
	if raised := b.holder.Grant(grant, now); len(raised) > 0 {
		b.offer(n, raised)
	}
	b.owed, b.keep = grant.Owed, grant.Keep
	if grant.Recall > 0 && n.Waiting(b.key.Service) == 0 && b.holder.Return(grant.Recall) > 0 {
		b.urgent = true
	}
}

// pushes returns the grants that this entry pushes as home.
func (n *Node) pushes(b *bucket, now time.Duration) []Message {
	if b.ledger == nil {
		return nil
	}
	var messages []Message
	for _, p := range b.ledger.Pushes() {
		switch {
		case p.To == n.Self:
			n.applyGrant(b, &p.Grant, now)
		case p.To.Instance != n.Self.Instance:
			messages = append(messages, Message{To: p.To, Grant: &p.Grant})
		}
	}
	return messages
}

// hasNewSlots reports whether a grant gives more slots than the holder's report
// had seen.
func hasNewSlots(grant *wire.Grant, r *wire.Report) bool {
	seen := map[id.Server]uint64{}
	for i := range r.Servers {
		seen[r.Servers[i].Server] = r.Servers[i].Seen
	}
	for i := range grant.Servers {
		if g := &grant.Servers[i]; g.Given > seen[g.Server] {
			return true
		}
	}
	return false
}
