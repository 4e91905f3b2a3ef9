package shared

import (
	"cmp"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission/pool"
	"github.com/shallotpier/shallotpier/internal/slots/demand"
	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/internal/slots/holder"
	"github.com/shallotpier/shallotpier/internal/slots/ledger"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	// bucket is what an entry keeps of one bucket.
	bucket struct {
		key      wire.Bucket
		holder   holder.Holder
		ledger   *ledger.Ledger
		plan     *bucketPlan
		reported time.Duration
		asked    int
		busy     bool
		urgent   bool
	}

	// bucketPlan is what the service files say of one bucket.
	bucketPlan struct {
		slots   []ledger.Slots
		longest time.Duration
	}
)

// plan sorts the servers of the files into buckets.
func plan(files []*service.File, entries int, margin time.Duration) map[wire.Bucket]*bucketPlan {
	plans := map[wire.Bucket]*bucketPlan{}
	for _, f := range files {
		longest := margin
		for i := range f.Classes {
			longest = max(longest, f.Classes[i].Deadline.Std()+margin)
		}
		for i := range f.Servers {
			s := &f.Servers[i]
			key := wire.Bucket{Service: f.Service, Zone: s.Zone}
			if plans[key] == nil {
				plans[key] = &bucketPlan{longest: longest}
			}
			n := min(s.Slots, s.Connections)
			if s.Leaving {
				n = 0
			}
			plans[key].slots = append(plans[key].slots, ledger.Slots{Server: s.Name, Slots: n, Ceiling: s.Connections / entries})
		}
	}
	return plans
}

func newBucket(a *Admitter, key wire.Bucket) *bucket {
	return &bucket{
		key:      key,
		reported: -a.Renew,
		plan:     &bucketPlan{},
		holder: holder.Holder{
			Bucket:   key,
			Lifetime: a.Lifetime,
			Gate:     func(s id.Server) *gate.Gate { return a.Pool.Set(pool.Key{Service: key.Service, Server: s}) },
		},
	}
}

func (b *bucket) compare(other *bucket) int {
	return cmp.Or(cmp.Compare(b.key.Service, other.key.Service), cmp.Compare(b.key.Zone, other.key.Zone))
}

func (b *bucket) configure(p *bucketPlan, now time.Duration) {
	b.plan = p
	names := make([]id.Server, 0, len(p.slots))
	for _, s := range p.slots {
		names = append(names, s.Server)
	}
	b.holder.Configure(names)
	if b.ledger != nil {
		b.ledger.Longest = max(b.ledger.Longest, p.longest)
		b.ledger.Configure(p.slots, now)
	}
}

// govern keeps the ledger in step with this entry's authority. The books of a
// home are kept after its authority has passed, in case its next term follows.
func (b *bucket) govern(a *Admitter, now time.Duration) {
	term, until, ok := a.Homes.Authority(b.key)
	if !ok {
		if b.ledger != nil {
			b.ledger.SetAuthority(0)
		}
		return
	}
	if b.ledger == nil {
		b.ledger = &ledger.Ledger{Bucket: b.key, Lifetime: a.Lifetime, Longest: b.plan.longest, Silence: a.Lifetime}
		b.ledger.Configure(b.plan.slots, now)
	}
	if term > b.ledger.Term() {
		b.ledger.Begin(term, now)
	}
	if term == b.ledger.Term() {
		b.ledger.SetAuthority(a.Pool.At(until))
	}
	if b.ledger.Tick(now) {
		a.Homes.Raise(b.key)
	}
}

// follow keeps the holder in step with what is known of the home.
func (b *bucket) follow(a *Admitter, now time.Duration) {
	if _, term, ok := a.Homes.Home(b.key); ok {
		b.holder.Adopt(term, now)
	}
	if term, begun, ok := a.Homes.Confirmed(b.key); ok {
		before := b.holder.End()
		b.holder.Confirm(term, a.Pool.At(begun))
		if now >= before && now < b.holder.End() {
			b.offer(a, nil)
		}
	}
}

// view returns what the demand policy may know.
func (b *bucket) view(a *Admitter, now time.Duration, waiting int) demand.Bucket {
	limit, used := b.holder.Counts()
	renew := a.Renew
	if waiting > 0 {
		renew = min(renew, starvedRenew)
	}
	v := demand.Bucket{Spare: b.holder.Spare(), Asked: b.asked, Busy: b.busy || now-b.reported < minGap, Due: b.urgent || now-b.reported >= renew}
	if now < b.holder.End() {
		v.Idle = max(0, limit-used)
	}
	if a.Distance != nil {
		v.Distance = a.Distance(b.key.Zone)
	}
	return v
}

// offer hands slots of the servers to waiting requests; nil means all servers.
func (b *bucket) offer(a *Admitter, servers []id.Server) {
	if servers == nil {
		for _, s := range b.plan.slots {
			servers = append(servers, s.Server)
		}
	}
	for _, s := range servers {
		a.Pool.Offer(pool.Key{Service: b.key.Service, Server: s})
	}
}
