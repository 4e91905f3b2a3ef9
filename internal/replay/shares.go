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
	grantLifetime = 2 * time.Second
	grantRenew    = 500 * time.Millisecond
	grantMargin   = 500 * time.Millisecond
	stepEvery     = 10 * time.Millisecond
	authorityFor  = time.Second
	leaseLapse    = 3 * time.Second
	storeWrite    = 30 * time.Millisecond
)

type (
	// shares moves slots between the entries by demand.
	shares struct {
		run     *run
		entries []*sharer
		index   map[id.Instance]int
		terms   map[wire.Bucket]id.Term
		homes   map[wire.Bucket]int
		raising map[wire.Bucket]bool
	}

	// sharer is one entry.
	sharer struct {
		*shares
		self  int
		node  node.Node
		gates map[id.Server]*gate.Gate
		wait  []*job
		order []int
	}
)

func (p *shares) start(r *run) {
	p.run = r
	p.index, p.terms, p.homes = map[id.Instance]int{}, map[wire.Bucket]id.Term{}, map[wire.Bucket]int{}
	p.raising = map[wire.Bucket]bool{}
	for zone, home := range bucketHomes(r.world, -1) {
		key := wire.Bucket{Service: r.world.Service.Service, Zone: zone}
		p.homes[key], p.terms[key] = home, 1
	}
	for i, e := range r.world.Deployment.Entries {
		p.index[e.Name] = i
		p.entries = append(p.entries, p.newSharer(i))
	}
	for i, e := range p.entries {
		r.at(stepEvery*time.Duration(i)/time.Duration(len(p.entries)), e.tick)
	}
}

func (p *shares) newSharer(i int) *sharer {
	w := p.run.world
	e := &sharer{shares: p, self: i, gates: map[id.Server]*gate.Gate{}, order: nearestServers(p.run, i)}
	for _, s := range w.Service.Servers {
		e.gates[s.Name] = new(gate.Gate)
	}
	e.node = node.Node{
		Self:     peer.Sender{Instance: w.Deployment.Entries[i].Name, Incarnation: 1},
		Homes:    e,
		Gate:     func(_ id.Service, s id.Server) *gate.Gate { return e.gates[s] },
		Offer:    func(id.Service, id.Server) { e.offer() },
		Waiting:  func(id.Service) int { return len(e.wait) },
		Distance: func(z id.Zone) time.Duration { return w.Deployment.Delay(w.Deployment.Entries[i].Zone, z) },
		Lifetime: grantLifetime, Renew: grantRenew, Demand: p.run.options.Demand,
	}
	e.node.Configure(node.Plan([]*service.File{w.Service}, len(w.Deployment.Entries), grantMargin), 0)
	return e
}

func (p *shares) arrive(j *job) {
	e := p.entries[j.Entry]
	if len(e.wait) == 0 && e.begin(j) {
		return
	}
	e.wait = append(e.wait, j)
	p.run.at(p.run.lastStart(j), func() {
		if i := slices.Index(e.wait, j); i >= 0 {
			e.wait = slices.Delete(e.wait, i, i+1)
			p.run.refuse(j)
		}
	})
	e.step()
}

func (p *shares) done(j *job) {
	e := p.entries[j.sender]
	e.gates[p.run.world.Service.Servers[j.server].Name].Release()
	e.offer()
}

// lose gives the buckets of the lost entry to others once its leases lapse.
func (p *shares) lose(entry int) {
	for _, j := range p.entries[entry].wait {
		j.gone = true
		p.run.result.lost++
	}
	p.entries[entry].wait = nil
	p.run.after(leaseLapse, func() {
		for zone, home := range bucketHomes(p.run.world, entry) {
			key := wire.Bucket{Service: p.run.world.Service.Service, Zone: zone}
			if p.homes[key] == entry {
				p.homes[key] = home
				p.terms[key]++
			}
		}
	})
}

// recovered tells whether all slots are free or with living entries.
func (p *shares) recovered() bool {
	reserved, homes := 0, 0
	for i, e := range p.entries {
		if !p.run.dead[i] {
			slots, n := e.node.Reserved(p.run.now)
			reserved += slots
			homes += n
		}
	}
	return reserved == 0 && homes == len(p.homes) && p.run.now > p.run.options.Lose+grantLifetime
}

func (e *sharer) tick() {
	if e.run.dead[e.self] {
		return
	}
	e.step()
	if e.run.now < e.run.end || len(e.wait) > 0 {
		e.run.after(stepEvery, e.tick)
	}
}

func (e *sharer) begin(j *job) bool {
	for _, s := range e.order {
		if e.gates[e.run.world.Service.Servers[s].Name].Acquire(e.run.now) {
			e.run.send(j, s)
			return true
		}
	}
	return false
}

func (e *sharer) offer() {
	for len(e.wait) > 0 && e.begin(e.wait[0]) {
		e.wait = e.wait[1:]
	}
}

func (e *sharer) step() {
	for _, s := range e.node.Step(e.run.now) {
		e.carry(s)
	}
}

// carry takes a message to its receiver and the answer back.
func (e *sharer) carry(s node.Send) {
	to := e.index[s.To.Instance]
	other, delay := e.entries[to], e.run.world.between(e.self, to)
	answered := false
	if s.Report != nil {
		e.run.after(grantRenew, func() {
			if !answered {
				e.node.Answered(s.Report, nil, e.run.now)
			}
		})
	}
	e.run.result.messages++
	e.run.after(delay, func() {
		if e.run.dead[to] {
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
			if e.run.dead[e.self] {
				return
			}
			if next, more := e.node.Pushed(s.To, &r, e.run.now); more {
				e.carry(next)
			}
			e.step()
		})
	})
}

func (e *sharer) answerReport(other *sharer, s node.Send, delay time.Duration, answered *bool) {
	grant, err := other.node.Report(e.node.Self, s.Report, e.run.now)
	if err != nil {
		return
	}
	other.step()
	e.run.after(delay, func() {
		if !e.run.dead[e.self] {
			*answered = true
			e.node.Answered(s.Report, &grant, e.run.now)
			e.step()
		}
	})
}

// Home implements node.Homes.
func (e *sharer) Home(b wire.Bucket) (id.Instance, id.Term, bool) {
	return e.run.world.Deployment.Entries[e.homes[b]].Name, e.terms[b], true
}

// Authority implements node.Homes.
func (e *sharer) Authority(b wire.Bucket) (id.Term, time.Duration, bool) {
	return e.terms[b], e.run.now + authorityFor, e.homes[b] == e.self
}

// Confirmed implements node.Homes; no store is asked in a replay.
func (e *sharer) Confirmed(wire.Bucket) (id.Term, time.Duration, bool) { return 0, 0, false }

// Raise implements node.Homes.
func (e *sharer) Raise(b wire.Bucket) {
	if e.raising[b] {
		return
	}
	e.raising[b] = true
	e.run.after(storeWrite, func() {
		e.raising[b] = false
		if e.homes[b] == e.self {
			e.terms[b]++
		}
	})
}
