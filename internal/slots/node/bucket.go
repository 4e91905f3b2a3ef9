package node

import (
	"cmp"
	"time"

	"github.com/shallotpier/shallotpier/internal/slots/demand"
	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/internal/slots/holder"
	"github.com/shallotpier/shallotpier/internal/slots/ledger"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	// BucketPlan is the configuration of one bucket, from the service files.
	BucketPlan struct {
		// Slots lists the servers with the slots that the home divides.
		Slots []ledger.Slots
		// MaxRequestTime is the maximum time that a request may run, margin
		// included.
		MaxRequestTime time.Duration
	}

	// bucket is an entry's state of one bucket.
	bucket struct {
		key        wire.Bucket
		holder     holder.Holder
		ledger     *ledger.Ledger
		plan       *BucketPlan
		lastReport time.Duration
		asked      int
		busy       bool
		urgent     bool
		owed       int
		keep       bool
		// unresponsive is set while the home does not answer reports.
		unresponsive bool
	}
)

// Plan groups the servers of the files into buckets. A server's connections are
// divided evenly among the entries, and margin is added to the longest deadline
// of its service.
func Plan(files []*service.File, entries int, margin time.Duration) map[wire.Bucket]*BucketPlan {
	plans := map[wire.Bucket]*BucketPlan{}
	for _, f := range files {
		maxTime := margin
		for i := range f.Classes {
			maxTime = max(maxTime, f.Classes[i].Deadline.Std()+margin)
		}
		for i := range f.Servers {
			s := &f.Servers[i]
			key := wire.Bucket{Service: f.Service, Zone: s.Zone}
			if plans[key] == nil {
				plans[key] = &BucketPlan{MaxRequestTime: maxTime}
			}
			n := min(s.Slots, s.Connections)
			if s.Leaving {
				n = 0
			}
			plans[key].Slots = append(plans[key].Slots, ledger.Slots{Server: s.Name, Slots: n, Ceiling: s.Connections / max(entries, 1)})
		}
	}
	return plans
}

func newBucket(n *Node, key wire.Bucket) *bucket {
	return &bucket{
		key:        key,
		lastReport: -n.Renew,
		plan:       &BucketPlan{},
		holder: holder.Holder{
			Bucket:   key,
			Lifetime: n.Lifetime,
			Gate:     func(s id.Server) *gate.Gate { return n.Gate(key.Service, s) },
		},
	}
}

func (b *bucket) compare(other *bucket) int {
	return cmp.Or(cmp.Compare(b.key.Service, other.key.Service), cmp.Compare(b.key.Zone, other.key.Zone))
}

func (b *bucket) configure(p *BucketPlan, now time.Duration) {
	b.plan = p
	names := make([]id.Server, 0, len(p.Slots))
	for _, s := range p.Slots {
		names = append(names, s.Server)
	}
	b.holder.Configure(names)
	if b.ledger != nil {
		b.ledger.MaxRequestTime = max(b.ledger.MaxRequestTime, p.MaxRequestTime)
		b.ledger.Configure(p.Slots, now)
	}
}

// updateLedger updates the ledger from this entry's authority as home. The ledger
// is kept after the authority has expired, since its counts remain usable if this
// entry also holds the next term.
func (b *bucket) updateLedger(n *Node, now time.Duration) {
	term, until, ok := n.Homes.Authority(b.key)
	if !ok {
		if b.ledger != nil {
			b.ledger.SetAuthority(0)
		}
		return
	}
	if b.ledger == nil {
		b.ledger = &ledger.Ledger{Bucket: b.key, Lifetime: n.Lifetime, MaxRequestTime: b.plan.MaxRequestTime, ReportTimeout: n.Lifetime}
		b.ledger.Configure(b.plan.Slots, now)
	}
	if term > b.ledger.Term() {
		b.ledger.Begin(term, now)
	}
	if term == b.ledger.Term() {
		b.ledger.SetAuthority(until)
	}
	b.ledger.Scatter = n.Leaving || b.plan.MaxRequestTime > scatterAbove
	if b.ledger.Tick(now) {
		n.Homes.RequestTerm(b.key)
	}
}

// updateHolder updates the holder's term and end from the home's lease.
func (b *bucket) updateHolder(n *Node, now time.Duration) {
	if _, term, ok := n.Homes.Home(b.key); ok {
		b.holder.SetTerm(term, now)
	}
	if term, begun, ok := n.Homes.Confirmed(b.key); ok {
		before := b.holder.End()
		b.holder.Confirm(term, begun)
		if now >= before && now < b.holder.End() {
			b.offer(n, nil)
		}
	}
}

// view returns the bucket's state for the demand policy.
func (b *bucket) view(n *Node, now time.Duration, waiting int) demand.Bucket {
	limit, used := b.holder.Counts()
	renew, gap := n.Renew, reserveGap
	if waiting > 0 {
		renew, gap = min(renew, waitingRenew), waitingGap
	}
	v := demand.Bucket{
		Spare: b.holder.Spare(), Asked: b.asked,
		Busy: b.busy || now-b.lastReport < gap && !b.urgent,
		Due:  b.urgent || now-b.lastReport >= renew,
	}
	_, _, known := n.Homes.Home(b.key)
	if b.unresponsive || !known {
		v.Spare = 0
	}
	if !known {
		v.Busy = true // no home to send a report to
	}
	if b.unresponsive || !known || now-b.lastReport >= askedTTL {
		v.Asked = 0
	}
	// If requests wait, idle slots belong to servers that these requests can't
	// use, for example because they were sent there before or because the
	// server is ejected as an outlier.
	if now < b.holder.End() && waiting == 0 {
		v.Idle = max(0, limit-used)
	}
	if n.Distance != nil {
		v.Distance = n.Distance(b.key.Zone)
	}
	return v
}

// offer offers the free slots of the servers to waiting requests; nil means all
// servers.
func (b *bucket) offer(n *Node, servers []id.Server) {
	if servers == nil {
		for _, s := range b.plan.Slots {
			n.Offer(b.key.Service, s.Server)
		}
	}
	for _, s := range servers {
		n.Offer(b.key.Service, s)
	}
}
