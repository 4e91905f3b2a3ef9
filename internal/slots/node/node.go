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
	starvedRenew = 50 * time.Millisecond
	reserveGap   = 20 * time.Millisecond
	starvedGap   = 5 * time.Millisecond

	// askTrust is how long slots that were asked for are counted on.
	askTrust = 100 * time.Millisecond

	// scatterFrom is the longest deadline above which homes keep no free
	// slots: after the loss of a home they would be out of use for that long.
	scatterFrom = time.Minute
)

type (
	// Homes tells who is home of the buckets, on the clock of the Node.
	Homes interface {
		// Home returns the home of a bucket and its term, as last known.
		Home(wire.Bucket) (id.Instance, id.Term, bool)
		// Authority returns the term in which this entry is home of a bucket
		// and the time from which it isn't any more unless it renews its
		// lease; false if it isn't now.
		Authority(wire.Bucket) (id.Term, time.Duration, bool)
		// Confirmed returns the term that the last successful read of the
		// store showed for a bucket, and when that read began.
		Confirmed(wire.Bucket) (id.Term, time.Duration, bool)
		// Raise asks for a new term of a bucket that this entry is home of.
		// Authority tells the new term once the store has it.
		Raise(wire.Bucket)
	}

	// Node is one entry's part. Its exported fields are set before its first
	// use. It is not safe for concurrent use, but for its gates.
	Node struct {
		// Self names this process.
		Self peer.Sender
		// Homes tells who is home.
		Homes Homes
		// Gate returns the gate of a server, always the same.
		Gate func(id.Service, id.Server) *gate.Gate
		// Offer hands free slots of a server to waiting requests.
		Offer func(id.Service, id.Server)
		// Waiting returns how many requests wait for a service.
		Waiting func(id.Service) int
		// Distance returns the one-way delay to an availability zone; nil
		// means that all are equally near.
		Distance func(id.Zone) time.Duration
		// Lifetime is how long a grant lives after its renewal; the same at
		// all entries.
		Lifetime time.Duration
		// Renew is the time between two reports to a home.
		Renew time.Duration
		// Demand sets the reserve kept of each service.
		Demand demand.Policy
		// Leaving makes the Node give back what isn't in use, and hand what is
		// free at home to the other entries. It may be set at any time.
		Leaving bool

		buckets map[wire.Bucket]*bucket
		order   []*bucket
	}

	// Send is a message to another entry: a Report, whose answer goes to
	// Answered, or a Grant, whose answer goes to Pushed.
	Send struct {
		// To is the receiver. Its incarnation is known for a Grant only.
		To peer.Sender
		// Report is set in a message to a home.
		Report *wire.Report
		// Grant is set in a message to a holder.
		Grant *wire.Grant
	}
)

// ErrUnknownBucket means that no service file in force names the bucket.
var ErrUnknownBucket = eris.New("bucket is not known")

// Configure sets the buckets. One that is not named has no slots any more.
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
			b.configure(&BucketPlan{Longest: b.plan.Longest}, now)
		}
	}
}

// Step looks at all buckets and returns the messages to send.
func (n *Node) Step(now time.Duration) []Send {
	var sends []Send
	for _, b := range n.order {
		b.govern(n, now)
		b.follow(n, now)
		sends = append(sends, n.pushes(b, now)...)
	}
	for first := 0; first < len(n.order); {
		last := first
		for last < len(n.order) && n.order[last].key.Service == n.order[first].key.Service {
			last++
		}
		sends = append(sends, n.balance(n.order[first:last], now)...)
		first = last
	}
	return sends
}

// Answered takes the answer to a report that Step returned, nil if none came.
func (n *Node) Answered(r *wire.Report, grant *wire.Grant, now time.Duration) {
	b := n.buckets[r.Bucket]
	if b == nil {
		return
	}
	b.busy, b.asked, b.silent = false, 0, grant == nil
	if grant != nil {
		n.book(b, grant, now)
	}
}

// Pushed takes the report that answers a grant. The result is the next message
// to the same holder, if there is news for it.
func (n *Node) Pushed(to peer.Sender, r *wire.Report, now time.Duration) (Send, bool) {
	grant, err := n.Report(to, r, now)
	if err != nil || !news(&grant, r) {
		return Send{}, false
	}
	return Send{To: to, Grant: &grant}, true
}

// Report takes a holder's report to this entry as home.
func (n *Node) Report(from peer.Sender, r *wire.Report, now time.Duration) (wire.Grant, error) {
	b := n.buckets[r.Bucket]
	if b == nil || b.ledger == nil {
		return wire.Grant{}, ledger.ErrNotHome
	}
	return b.ledger.Report(from, r, now)
}

// Grant takes a grant that a home sent on its own, and returns the answer.
func (n *Node) Grant(g *wire.Grant, now time.Duration) (wire.Report, error) {
	b := n.buckets[g.Bucket]
	if b == nil {
		return wire.Report{}, ErrUnknownBucket
	}
	n.book(b, g, now)
	waiting := n.lacking(b.key.Service, now)
	r := b.holder.Report(now, waiting, waiting)
	r.Leaving = n.Leaving
	return r, nil
}

// Handed tells, of a Node that is leaving, whether it has given all away but
// what is in use, so that its leases may be released.
func (n *Node) Handed() bool {
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

// Reserved returns how many slots of the buckets that this entry is home of no
// living holder can use, and of how many buckets it is home.
func (n *Node) Reserved(now time.Duration) (slots, homes int) {
	for _, b := range n.order {
		if _, _, ok := n.Homes.Authority(b.key); ok && b.ledger != nil {
			slots += b.ledger.Reserved(now)
			homes++
		}
	}
	return slots, homes
}

// lacking returns how many requests of a service wait for slots that this entry
// neither has nor has asked for.
func (n *Node) lacking(svc id.Service, now time.Duration) int {
	lack := n.Waiting(svc)
	for _, b := range n.order {
		if b.key.Service == svc {
			v := b.view(n, now, lack)
			lack -= v.Idle + v.Asked
		}
	}
	return max(0, lack)
}

// balance asks for and gives back slots of one service.
func (n *Node) balance(buckets []*bucket, now time.Duration) []Send {
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
	var sends []Send
	for i, b := range buckets {
		if !views[i].Busy && (!b.keep || n.Leaving) && returns[i] > 0 && b.holder.Return(returns[i]) > 0 {
			views[i].Due = true
		}
		if waiting == 0 && b.owed > 0 && b.holder.Return(b.owed) > 0 {
			b.owed = 0
			views[i].Due, views[i].Busy = true, b.busy
		}
		if (views[i].Due || wants[i] > 0) && !views[i].Busy {
			sends = append(sends, n.report(b, now, wants[i], waiting)...)
		}
	}
	return sends
}

// report makes a report, and takes it at once if this entry is home. To a home
// whose term isn't known it says term 0, and the answer tells the term.
func (n *Node) report(b *bucket, now time.Duration, want, waiting int) []Send {
	home, _, ok := n.Homes.Home(b.key)
	if !ok || (home == n.Self.Instance && b.holder.Term() == 0) {
		return nil
	}
	r := b.holder.Report(now, want, waiting)
	r.Leaving = n.Leaving
	b.reported, b.urgent = now, false
	if home != n.Self.Instance {
		b.busy, b.asked = true, want
		return []Send{{To: peer.Sender{Instance: home}, Report: &r}}
	}
	grant, err := n.Report(n.Self, &r, now)
	if err != nil {
		return nil
	}
	sends := n.pushes(b, now)
	n.book(b, &grant, now)
	return sends
}

// book takes a grant and gives back what it recalls, unless requests wait.
func (n *Node) book(b *bucket, grant *wire.Grant, now time.Duration) {
	if raised := b.holder.Grant(grant, now); len(raised) > 0 {
		b.offer(n, raised)
	}
	b.owed, b.keep = grant.Owed, grant.Keep
	if grant.Recall > 0 && n.Waiting(b.key.Service) == 0 && b.holder.Return(grant.Recall) > 0 {
		b.urgent = true
	}
}

// pushes returns the grants that this entry sends on its own as home.
func (n *Node) pushes(b *bucket, now time.Duration) []Send {
	if b.ledger == nil {
		return nil
	}
	var sends []Send
	for _, p := range b.ledger.Pushes() {
		switch {
		case p.To == n.Self:
			n.book(b, &p.Grant, now)
		case p.To.Instance != n.Self.Instance:
			sends = append(sends, Send{To: p.To, Grant: &p.Grant})
		}
	}
	return sends
}

// news tells whether a grant gives more than the holder's report knew.
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
	return false
}
