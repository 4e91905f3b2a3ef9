package replay

import (
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/internal/slots/node"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	grantLifetime  = 2 * time.Second
	renewInterval  = 500 * time.Millisecond
	grantMargin    = 500 * time.Millisecond
	stepInterval   = 10 * time.Millisecond
	authorityTime  = time.Second
	leaseTimeout   = 3 * time.Second
	storeWriteTime = 30 * time.Millisecond
)

type (
	// shares divides the slots among the entries by demand, with grants from the
	// home entry of each bucket.
	shares struct {
		run           *run
		entries       []*sharesEntry
		index         map[id.Instance]int
		terms         map[wire.Bucket]id.Term
		homes         map[wire.Bucket]int
		termRequested map[wire.Bucket]bool
	}

	// sharesEntry is a simulated entry.
	sharesEntry struct {
		*shares
		self        int
		node        node.Node
		gates       map[id.Server]*gate.Gate
		waiting     []*job
		serverOrder []int
	}
)

func (p *shares) start(r *run) {
	p.run = r
	p.index, p.terms, p.homes = map[id.Instance]int{}, map[wire.Bucket]id.Term{}, map[wire.Bucket]int{}
	p.termRequested = map[wire.Bucket]bool{}
	for zone, home := range bucketHomes(r.env, -1) {
		key := wire.Bucket{Service: r.env.Service.Service, Zone: zone}
		p.homes[key], p.terms[key] = home, 1
	}
	for i, e := range r.env.Deployment.Entries {
		p.index[e.Name] = i
		p.entries = append(p.entries, p.newEntry(i))
	}
	for i, e := range p.entries {
		r.at(stepInterval*time.Duration(i)/time.Duration(len(p.entries)), e.tick)
	}
}

func (p *shares) newEntry(i int) *sharesEntry {
	env := p.run.env
	e := &sharesEntry{shares: p, self: i, gates: map[id.Server]*gate.Gate{}, serverOrder: nearestServers(p.run, i)}
	for _, s := range env.Service.Servers {
		e.gates[s.Name] = new(gate.Gate)
	}
	e.node = node.Node{
		Self:     peer.Sender{Instance: env.Deployment.Entries[i].Name, Incarnation: 1},
		Homes:    e,
		Gate:     func(_ id.Service, s id.Server) *gate.Gate { return e.gates[s] },
		Offer:    func(id.Service, id.Server) { e.startWaiting() },
		Waiting:  func(id.Service) int { return len(e.waiting) },
		Distance: func(z id.Zone) time.Duration { return env.Deployment.Delay(env.Deployment.Entries[i].Zone, z) },
		Lifetime: grantLifetime, Renew: renewInterval, Demand: p.run.options.Demand,
	}
	e.node.Configure(node.Plan([]*service.File{env.Service}, len(env.Deployment.Entries), grantMargin), 0)
	return e
}

func (p *shares) arrive(j *job) {
	e := p.entries[j.Entry]
	if len(e.waiting) == 0 && e.startRequest(j) {
		return
	}
	e.waiting = append(e.waiting, j)
	p.run.at(p.run.lastStart(j), func() {
		if i := slices.Index(e.waiting, j); i >= 0 {
			e.waiting = slices.Delete(e.waiting, i, i+1)
			p.run.refuse(j)
		}
	})
	e.step()
}

func (p *shares) completed(j *job) {
	e := p.entries[j.sender]
	e.gates[p.run.env.Service.Servers[j.server].Name].Release()
	e.startWaiting()
}

// entryFailed assigns the buckets of the failed entry to other home entries after
// its leases have expired.
func (p *shares) entryFailed(entry int) {
	for _, j := range p.entries[entry].waiting {
		j.ended = true
		p.run.result.lost++
	}
	p.entries[entry].waiting = nil
	p.run.after(leaseTimeout, func() {
		for zone, home := range bucketHomes(p.run.env, entry) {
			key := wire.Bucket{Service: p.run.env.Service.Service, Zone: zone}
			if p.homes[key] == entry {
				p.homes[key] = home
				p.terms[key]++
			}
		}
	})
}

// recovered reports whether the grants of the failed entry have expired, every
// bucket has a live home entry, and every slot is available to a live entry.
func (p *shares) recovered() bool {
	reserved, homes := 0, 0
	for i, e := range p.entries {
		if !p.run.failed[i] {
			slots, n := e.node.Reserved(p.run.now)
			reserved += slots
			homes += n
		}
	}
	return reserved == 0 && homes == len(p.homes) && p.run.now > p.run.options.FailAt+grantLifetime
}

func (e *sharesEntry) tick() {
	if e.run.failed[e.self] {
		return
	}
	e.step()
	if e.run.now < e.run.end || len(e.waiting) > 0 {
		e.run.after(stepInterval, e.tick)
	}
}

func (e *sharesEntry) startRequest(j *job) bool {
	for _, s := range e.serverOrder {
		if e.gates[e.run.env.Service.Servers[s].Name].Acquire(e.run.now) {
			e.run.send(j, s)
			return true
		}
	}
	return false
}

func (e *sharesEntry) startWaiting() {
	for len(e.waiting) > 0 && e.startRequest(e.waiting[0]) {
		e.waiting = e.waiting[1:]
	}
}

func (e *sharesEntry) step() {
	for _, s := range e.node.Step(e.run.now) {
		e.deliver(s)
	}
}

// deliver delivers a message and its answer, each after the network delay. A report
// without an answer within renewInterval counts as failed.
func (e *sharesEntry) deliver(s node.Message) {
	to := e.index[s.To.Instance]
	other, delay := e.entries[to], e.run.env.entryDelay(e.self, to)
	answered := false
	if s.Report != nil {
		e.run.after(renewInterval, func() {
			if !answered {
				e.node.ReportAnswered(s.Report, nil, e.run.now)
			}
		})
	}
	e.run.result.messages++
	e.run.after(delay, func() {
		if e.run.failed[to] {
			return
		}
		if s.Report != nil {
			e.answerReport(other, s, delay, &answered)
			return
		}
		r, err := other.node.Grant(s.Grant, e.run.now)
		if err != nil {
			return
		}
		e.run.after(delay, func() {
			if e.run.failed[e.self] {
				return
			}
			if next, more := e.node.GrantAnswered(s.To, &r, e.run.now); more {
				e.deliver(next)
			}
			e.step()
		})
	})
}

func (e *sharesEntry) answerReport(other *sharesEntry, s node.Message, delay time.Duration, answered *bool) {
	grant, err := other.node.Report(e.node.Self, s.Report, e.run.now)
	if err != nil {
		return
	}
	other.step()
	e.run.after(delay, func() {
		if !e.run.failed[e.self] {
			*answered = true
			e.node.ReportAnswered(s.Report, &grant, e.run.now)
			e.step()
		}
	})
}

// Home implements node.Homes.
func (e *sharesEntry) Home(b wire.Bucket) (id.Instance, id.Term, bool) {
	return e.run.env.Deployment.Entries[e.homes[b]].Name, e.terms[b], true
}

// Authority implements node.Homes.
func (e *sharesEntry) Authority(b wire.Bucket) (id.Term, time.Duration, bool) {
	return e.terms[b], e.run.now + authorityTime, e.homes[b] == e.self
}

// Confirmed implements node.Homes. It never confirms, as a replay has no store.
func (e *sharesEntry) Confirmed(wire.Bucket) (id.Term, time.Duration, bool) { return 0, 0, false }

// RequestTerm implements node.Homes.
func (e *sharesEntry) RequestTerm(b wire.Bucket) {
	if e.termRequested[b] {
		return
	}
	e.termRequested[b] = true
	e.run.after(storeWriteTime, func() {
		e.termRequested[b] = false
		if e.homes[b] == e.self {
			e.terms[b]++
		}
	})
}
