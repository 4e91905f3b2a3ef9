package replay

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// run is the replay of one trace with one policy.
	run struct {
		env             *Environment
		options         Options
		rng             *rand.Rand
		now             time.Duration
		end             time.Duration
		events          events
		count           uint64
		servers         []*server
		failed          []bool
		meanServiceTime []time.Duration
		policy          policy
		result          recorder
	}

	// policy decides which entry sends a request, to which server and when.
	policy interface {
		// start is called once, before the first arrival.
		start(*run)
		// arrive is called when a request arrives at its entry.
		arrive(*job)
		// completed is called when the response to a request reaches the entry
		// that sent it. The slot is free from then on.
		completed(*job)
		// entryFailed is called when an entry fails.
		entryFailed(entry int)
	}

	server struct {
		slots   int
		running int
		queue   []*job
	}

	// job is a request being processed.
	job struct {
		Request
		deadline time.Duration
		// sender is the entry that sends the request to a server.
		sender int
		server int
		region id.Region
		sent   time.Duration
		waited time.Duration
		ended  bool
	}

	event struct {
		at time.Duration
		n  uint64
		do func()
	}

	events []event
)

// at schedules a call of do. Calls scheduled for the same time keep their order.
func (r *run) at(when time.Duration, do func()) {
	r.count++
	heap.Push(&r.events, event{max(when, r.now), r.count, do})
}

func (r *run) after(d time.Duration, do func()) { r.at(r.now+d, do) }

func (r *run) replay(t *Trace) {
	r.policy.start(r)
	if r.options.FailAt > 0 {
		r.at(r.options.FailAt, func() {
			r.failed[r.options.FailedEntry] = true
			r.policy.entryFailed(r.options.FailedEntry)
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

// arrive passes a request to the policy at its entry or, if that has failed, at the
// next entry that has not.
func (r *run) arrive(req *Request) {
	j := &job{Request: *req, deadline: r.now + r.env.Service.Classes[req.Class].Deadline.Std()}
	for r.failed[j.Entry] {
		j.Entry = (j.Entry + 1) % len(r.failed)
	}
	j.sender = j.Entry
	r.policy.arrive(j)
}

// send sends a request from its sender to a server.
func (r *run) send(j *job, s int) {
	j.server, j.sent = s, r.now
	j.region, _ = r.env.Deployment.Region(r.env.Service.Servers[s].Zone)
	j.waited += r.now - j.At - r.env.entryDelay(j.Entry, j.sender)
	r.after(r.env.serverDelay(j.sender, s), func() { r.receive(j) })
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
	r.after(j.ServiceTime, func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next.waited += r.now
			r.serve(next, s)
		}
		r.after(r.env.serverDelay(j.sender, j.server), func() { r.handleResponse(j) })
	})
}

func (r *run) handleResponse(j *job) {
	if r.failed[j.sender] || r.failed[j.Entry] {
		r.result.lost++
		return
	}
	latency := r.now - j.At + r.env.entryDelay(j.sender, j.Entry) + 2*r.env.Deployment.Delays.Clients.Std()
	r.result.served(j, r.now, latency, j.sender != j.Entry)
	r.policy.completed(j)
}

// lastStart returns the latest time at which a request can be sent and, with the
// mean service time of its class, still meet its deadline.
func (r *run) lastStart(j *job) time.Duration { return j.deadline - r.meanServiceTime[j.Class] }

// refuse ends a request that got no slot in time.
func (r *run) refuse(j *job) {
	j.ended = true
	r.result.refuse(j, r.now)
}

// meanServiceTimes returns the mean service time of each class.
func meanServiceTimes(t *Trace, classes int) []time.Duration {
	sum, n := make([]time.Duration, classes), make([]int, classes)
	for i := range t.Requests {
		sum[t.Requests[i].Class] += t.Requests[i].ServiceTime
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
