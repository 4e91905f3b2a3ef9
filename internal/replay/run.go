package replay

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// run is one trace under one policy.
	run struct {
		world   *World
		options Options
		rng     *rand.Rand
		now     time.Duration
		end     time.Duration
		events  events
		count   uint64
		servers []*server
		dead    []bool
		give    []time.Duration
		policy  policy
		result  recorder
	}

	// policy decides where requests go.
	policy interface {
		// start is called once, before the first arrival.
		start(*run)
		// arrive is called with a request that has reached its entry.
		arrive(*job)
		// done is called when the answer of a request is back at the entry
		// that sent it; its slot is free.
		done(*job)
		// lose is called when an entry is lost.
		lose(entry int)
	}

	server struct {
		slots   int
		running int
		queue   []*job
	}

	// job is a request on its way.
	job struct {
		Request
		deadline time.Duration
		// sender is the entry that sends it to a server.
		sender int
		server int
		region id.Region
		sent   time.Duration
		waited time.Duration
		gone   bool
	}

	event struct {
		at time.Duration
		n  uint64
		do func()
	}

	events []event
)

// at calls do at the given time; calls for one time keep their order.
func (r *run) at(when time.Duration, do func()) {
	r.count++
	heap.Push(&r.events, event{max(when, r.now), r.count, do})
}

func (r *run) after(d time.Duration, do func()) { r.at(r.now+d, do) }

func (r *run) play(t *Trace) {
	r.policy.start(r)
	if r.options.Lose > 0 {
		r.at(r.options.Lose, func() {
			r.dead[r.options.Lost] = true
			r.policy.lose(r.options.Lost)
		})
	}
	for i := range t.Requests {
		req := &t.Requests[i]
		r.at(req.At, func() { r.arrive(req) })
		r.end = req.At
	}
	for len(r.events) > 0 {
		e, ok := heap.Pop(&r.events).(event)
		if !ok {
			return
		}
		r.now = e.at
		e.do()
	}
}

// arrive takes a request at its entry, or at the next one that lives.
func (r *run) arrive(req *Request) {
	j := &job{Request: *req, deadline: r.now + r.world.Service.Classes[req.Class].Deadline.Std()}
	for r.dead[j.Entry] {
		j.Entry = (j.Entry + 1) % len(r.dead)
	}
	j.sender = j.Entry
	r.policy.arrive(j)
}

// send sends a request from its sender to a server.
func (r *run) send(j *job, s int) {
	j.server, j.sent = s, r.now
	j.region, _ = r.world.Deployment.Region(r.world.Service.Servers[s].Zone)
	j.waited += r.now - j.At - r.world.between(j.Entry, j.sender)
	r.after(r.world.delay(j.sender, s), func() { r.receive(j) })
}

func (r *run) receive(j *job) {
	s := r.servers[j.server]
	if s.running < s.slots {
		r.serve(j, s)
		return
	}
	r.result.overload(r.now)
	s.queue = append(s.queue, j)
	j.waited -= r.now
}

func (r *run) serve(j *job, s *server) {
	s.running++
	r.after(j.Work, func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next.waited += r.now
			r.serve(next, s)
		}
		r.after(r.world.delay(j.sender, j.server), func() { r.answered(j) })
	})
}

func (r *run) answered(j *job) {
	if r.dead[j.sender] || r.dead[j.Entry] {
		r.result.lost++
		return
	}
	whole := r.now - j.At + r.world.between(j.sender, j.Entry) + 2*r.world.Deployment.Delays.Clients.Std()
	r.result.served(j, r.now, whole, j.sender != j.Entry)
	r.policy.done(j)
}

// lastStart returns when a request must have started to be served in time.
func (r *run) lastStart(j *job) time.Duration { return j.deadline - r.give[j.Class] }

// refuse gives a request up.
func (r *run) refuse(j *job) {
	j.gone = true
	r.result.refuse(j, r.now)
}

// meanWork returns the mean work by class.
func meanWork(t *Trace, classes int) []time.Duration {
	sum, n := make([]time.Duration, classes), make([]int, classes)
	for i := range t.Requests {
		sum[t.Requests[i].Class] += t.Requests[i].Work
		n[t.Requests[i].Class]++
	}
	for i := range sum {
		sum[i] /= time.Duration(max(n[i], 1))
	}
	return sum
}

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	if v, ok := x.(event); ok {
		*e = append(*e, v)
	}
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
