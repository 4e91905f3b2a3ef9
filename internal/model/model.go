// Package model simulates callers, entries and backend servers on virtual time,
// to compare policies on the same arrivals without a network.
//
// The entries run the project's own decisions: each has a roster and a
// dispatcher, and resends within a budget. Servers have slots and a queue, are
// faster for objects that they handled recently, refuse what they can't queue,
// and report their load. Callers send at random times, give up at their deadline,
// and come back once after a refusal.
//
// # Usage
//
//	m := model.Model{Seed: 1, Length: 30 * time.Second, Service: svc, Classes: classes, Entries: 7}
//	m.At(10*time.Second, func(s *model.Servers) { s.Refuse(0.55) })
//	report := m.Run()
//	fmt.Println(report.Credit(10*time.Second, 20*time.Second))
package model

import (
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	serviceName = id.Service("service")
	stepTime    = 100 * time.Millisecond
	// nearDelay is the one-way delay within a region.
	nearDelay = time.Millisecond
	// lateWorth is the credit of an answer after the objective.
	lateWorth = 0.2
	// clientDelay is how soon a refused caller is back.
	clientDelay = 100 * time.Millisecond
)

type (
	// Service is the simulated service.
	Service struct {
		// Regions holds the number of servers of each region.
		Regions []int
		// Slots is how many requests a server runs at the same time.
		Slots int
		// Queue is how many more it keeps waiting.
		Queue int
		// Warm is how many objects a server remembers.
		Warm int
		// Gain is the part of the work that is saved for those, 0 to 1.
		Gain float64
	}

	// Class is a class of requests.
	Class struct {
		// Kind is what may be sent again.
		Kind service.Kind
		// Rate is how many come in a second, over all entries.
		Rate float64
		// Objects is how many different ones they concern.
		Objects int
		// Work is the mean work for an object that the server doesn't know.
		Work time.Duration
		// Objective is the latency within which an answer is worth 1.
		Objective time.Duration
		// Deadline is when the caller gives up.
		Deadline time.Duration
		// Timeout is when the entry gives up, at each try of the caller, and
		// cancels the work; 0 is never.
		Timeout time.Duration
	}

	// Chooser is a policy.
	Chooser interface {
		// Choose returns the server for a request, with the request begun there.
		Choose(now time.Time, req *dispatch.Request) dispatch.Choice
	}

	// Model is a simulation. Its fields are set before Run.
	Model struct {
		// Seed decides all that is random.
		Seed uint64
		// Length is the simulated time.
		Length time.Duration
		// Entries is how many entries there are; they stand in the regions in
		// turn.
		Entries int
		// Delay is the one-way delay between regions.
		Delay time.Duration
		// Service is the service.
		Service Service
		// Classes are the classes of requests.
		Classes []Class
		// Attempts is how many servers one request may be sent to.
		Attempts int
		// Policy makes an entry's policy; nil is a dispatch.Dispatcher.
		Policy Policy

		events  queue
		changes []change
		now     time.Time
		start   time.Time
		rng     *rand.Rand
		draws   *rand.Rand // of policies, so that all meet the same arrivals
		entries []*entry
		servers Servers
		report  Report
		order   int
	}

	change struct {
		at   time.Duration
		make func(*Servers)
	}

	event struct {
		at    time.Time
		order int
		run   func()
	}

	queue []event

	// Report holds what callers saw.
	Report struct {
		start   time.Time
		length  time.Duration
		answers []answer
	}

	answer struct {
		asked  time.Duration
		took   time.Duration
		credit float64
	}
)

// At makes a change to the servers at a time from the start.
func (m *Model) At(at time.Duration, makeChange func(*Servers)) {
	m.changes = append(m.changes, change{at, makeChange})
}

// Run simulates and returns what callers saw.
func (m *Model) Run() *Report {
	m.rng, m.draws = rand.New(rand.NewPCG(m.Seed, 0)), rand.New(rand.NewPCG(m.Seed, 1))
	m.start = time.Unix(1_000_000, 0)
	m.now = m.start
	m.report = Report{start: m.start, length: m.Length}
	m.servers = newServers(m)
	for i := range m.Entries {
		m.entries = append(m.entries, newEntry(m, i))
	}
	for _, c := range m.changes {
		m.after(c.at, func() { c.make(&m.servers) })
	}
	for i := range m.Classes {
		m.arrive(&m.Classes[i], &route.Route{
			Kind: m.Classes[i].Kind, Affinity: true, Attempts: m.Attempts, Objective: m.Classes[i].Objective,
		})
	}
	m.after(stepTime, m.step)
	end := m.start.Add(m.Length)
	for len(m.events) > 0 {
		e, _ := heap.Pop(&m.events).(event)
		if e.at.After(end) {
			break
		}
		m.now = e.at
		e.run()
	}
	return &m.report
}

// Credit returns the credit of the requests that came in a span of time, as a
// part of the most that they could earn.
func (r *Report) Credit(from, to time.Duration) float64 {
	sum, n := 0.0, 0
	for _, a := range r.answers {
		if a.asked >= from && a.asked < to {
			sum += a.credit
			n++
		}
	}
	return sum / math.Max(float64(n), 1)
}

// Unserved returns the part of the requests of a span of time that were refused or
// failed.
func (r *Report) Unserved(from, to time.Duration) float64 {
	unserved, n := 0.0, 0
	for _, a := range r.answers {
		if a.asked >= from && a.asked < to {
			if n++; a.credit == 0 {
				unserved++
			}
		}
	}
	return unserved / math.Max(float64(n), 1)
}

// Latency returns a quantile, 0 to 1, of the latencies of the requests that came
// in a span of time and were answered.
func (r *Report) Latency(q float64, from, to time.Duration) time.Duration {
	var all []time.Duration
	for _, a := range r.answers {
		if a.asked >= from && a.asked < to && a.credit > 0 {
			all = append(all, a.took)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// arrive lets requests of a class come at random times.
func (m *Model) arrive(c *Class, rt *route.Route) {
	gap := time.Duration(m.rng.ExpFloat64() / c.Rate * float64(time.Second))
	m.after(gap, func() {
		m.arrive(c, rt)
		e := m.entries[m.rng.IntN(len(m.entries))]
		object := fmt.Sprintf("%s-%d", c.Kind, m.rng.IntN(c.Objects))
		e.take(&request{class: c, route: rt, object: object, asked: m.now, began: m.now, returns: 1})
	})
}

func (m *Model) step() {
	for _, e := range m.entries {
		e.roster.Step(m.now)
	}
	m.after(stepTime, m.step)
}

func (m *Model) after(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, event{m.now.Add(d), m.order, run})
}

func (m *Model) done(r *request, credit float64) {
	if r.done {
		return
	}
	r.done = true
	m.report.answers = append(m.report.answers, answer{r.asked.Sub(m.start), m.now.Sub(r.asked), credit})
}

func region(i int) id.Region { return id.Region(fmt.Sprintf("region-%d", i)) }

func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if c := q[i].at.Compare(q[j].at); c != 0 {
		return c < 0
	}
	return cmp.Less(q[i].order, q[j].order)
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
