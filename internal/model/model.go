// Package model is a discrete-event simulation of callers, entries and backend
// servers. It compares load balancing policies on the same arrivals, in virtual
// time and without a network.
//
// Each simulated entry runs the production code for server selection: a roster,
// a dispatcher and a retry budget. Servers have slots and a queue, process
// requests for recently served objects faster, reject requests when the queue is
// full, report their load, and may name limits. Requests arrive as a Poisson process. A caller
// abandons a request at its deadline and retries once after a rejection.
//
// # Usage
//
//	m := model.Model{Seed: 1, Length: 30 * time.Second, Service: svc, Classes: classes, Entries: 7}
//	m.At(10*time.Second, func(s *model.Servers) { s.SetRejectRatio(0.55) })
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
	"github.com/shallotpier/shallotpier/internal/standin/ratecheck"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	serviceName  = id.Service("service")
	stepInterval = 100 * time.Millisecond
	// heartbeatInterval is the time between two reports of an entry to the others.
	heartbeatInterval = 500 * time.Millisecond
	// intraRegionDelay is the one-way network delay within a region.
	intraRegionDelay = time.Millisecond
	// lateCredit is the credit for a response after the latency objective but
	// before the deadline.
	lateCredit = 0.2
	// clientRetryDelay is the time between a rejection and the caller's retry.
	clientRetryDelay = 100 * time.Millisecond
)

type (
	// Service is the simulated service.
	Service struct {
		// Regions is the number of servers in each region.
		Regions []int
		// Slots is the concurrency limit of a server.
		Slots int
		// Queue is the maximum number of requests queued at a server.
		Queue int
		// WarmObjects is the number of recently served objects for which a
		// server is warm.
		WarmObjects int
		// WarmSaving is the fraction of the service time saved for warm
		// objects, 0 to 1.
		WarmSaving float64
		// Pace describes the machines' pace, which the servers report unless it is
		// always the usual one.
		Pace Pace
		// ReportAge is the greatest age of what a server reports.
		ReportAge time.Duration
	}

	// Class is a class of requests.
	Class struct {
		// Kind determines which requests may be retried.
		Kind service.Kind
		// Rate is the arrival rate in requests per second, over all entries.
		Rate float64
		// Objects is the number of distinct objects that are requested.
		Objects int
		// Single is the fraction of requests that are each on an object of their own.
		Single float64
		// ServiceTime is the mean service time for an object for which the
		// server is cold.
		ServiceTime time.Duration
		// Objective is the latency up to which a response earns a credit of 1.
		Objective time.Duration
		// Deadline is the time after which the caller abandons the request.
		Deadline time.Duration
		// Timeout is the time after which the entry cancels an attempt of the
		// caller; 0 means no timeout.
		Timeout time.Duration
		// Priority is the priority of the route.
		Priority int
		// Wave, if not nil, returns the arrival rate at a time after the start, as a
		// fraction of Rate.
		Wave func(at time.Duration) float64
	}

	// Chooser selects backend servers for one entry.
	Chooser interface {
		// Choose returns the server for a request. The request is already
		// counted as in flight on it.
		Choose(now time.Time, req *dispatch.Request) dispatch.Choice
	}

	// Model is a simulation. Its exported fields must be set before Run.
	Model struct {
		// Seed is the seed of the random number generators.
		Seed uint64
		// Length is the simulated duration.
		Length time.Duration
		// Entries is the number of entries. They are assigned to the regions
		// round robin.
		Entries int
		// Delay is the one-way network delay between regions.
		Delay time.Duration
		// Service describes the backend servers.
		Service Service
		// Classes are the classes of requests.
		Classes []Class
		// Attempts is the maximum number of servers to which one attempt of the
		// caller is sent.
		Attempts int
		// Policy creates the Chooser of an entry; nil means a
		// dispatch.Dispatcher.
		Policy Policy
		// Wave, if not nil, returns the arrival rates at a time after the start, as a
		// fraction of the classes' rates.
		Wave func(at time.Duration) float64
		// Moving, if not nil, returns the share of the requests that arrive at the
		// entries of the first region only at a time after the start.
		Moving func(at time.Duration) float64
		// Organisations are those of the callers, if any. Callers of organisations retry
		// until their deadline.
		Organisations []Organisation
		// Ordered lets entries refuse requests in an order, rather than at random.
		Ordered bool

		events    eventQueue
		changes   []change
		now       time.Time
		start     time.Time
		rng       *rand.Rand
		policyRNG *rand.Rand // separate from rng, so that all policies get the same arrivals
		entries   []*entry
		servers   Servers
		report    Report
		spread    spread
		order     int
	}

	change struct {
		at    time.Duration
		apply func(*Servers)
	}

	event struct {
		at    time.Time
		order int
		run   func()
	}

	eventQueue []event

	// Report holds the results of all requests as seen by the callers.
	Report struct {
		start    time.Time
		length   time.Duration
		outcomes []outcome
		limits   ratecheck.Record
		spread   *spread
		err      error
	}

	outcome struct {
		arrived time.Duration
		latency time.Duration
		credit  float64
		class   *Class
		caller  *Organisation
	}
)

// At schedules a change to the servers at a time after the start.
func (m *Model) At(at time.Duration, apply func(*Servers)) {
	m.changes = append(m.changes, change{at, apply})
}

// Run runs the simulation and returns the results as seen by the callers.
func (m *Model) Run() *Report {
	m.rng, m.policyRNG = rand.New(rand.NewPCG(m.Seed, 0)), rand.New(rand.NewPCG(m.Seed, 1))
	m.start = time.Unix(1_000_000, 0)
	m.now = m.start
	m.report.start, m.report.length = m.start, m.Length
	m.servers = newServers(m)
	m.spread = newSpread(m)
	m.report.spread = &m.spread
	for i := range m.Entries {
		m.entries = append(m.entries, newEntry(m, i))
	}
	for _, c := range m.changes {
		m.after(c.at, func() { c.apply(&m.servers) })
	}
	for i := range m.Classes {
		m.scheduleArrival(&m.Classes[i], &route.Route{
			Kind: m.Classes[i].Kind, Affinity: true, Attempts: m.Attempts, Objective: m.Classes[i].Objective,
			Priority: m.Classes[i].Priority,
		})
	}
	m.after(stepInterval, m.step)
	m.after(heartbeatInterval, func() { m.heartbeat(0) })
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

// LimitViolations returns the windows in which servers got more requests than their limits
// allow, later than the given time after they named them. The error is that of a report
// between entries.
func (r *Report) LimitViolations(settling time.Duration) ([]ratecheck.Violation, error) {
	return r.limits.Violations(settling), r.err
}

// Credit returns the mean credit of the requests that arrived in a period, 0 to
// 1.
func (r *Report) Credit(from, to time.Duration) float64 {
	sum, n := 0.0, 0
	for _, o := range r.outcomes {
		if o.arrived >= from && o.arrived < to {
			sum += o.credit
			n++
		}
	}
	return sum / math.Max(float64(n), 1)
}

// Unserved returns the fraction of the requests that arrived in a period and were
// rejected or failed.
func (r *Report) Unserved(from, to time.Duration) float64 {
	unserved, n := 0.0, 0
	for _, o := range r.outcomes {
		if o.arrived >= from && o.arrived < to {
			if n++; o.credit == 0 {
				unserved++
			}
		}
	}
	return unserved / math.Max(float64(n), 1)
}

// Late returns the fraction of the requests that arrived in a period and were served after
// their objective.
func (r *Report) Late(from, to time.Duration) float64 {
	late, n := 0.0, 0
	for _, o := range r.outcomes {
		if o.arrived >= from && o.arrived < to {
			if n++; o.credit == lateCredit {
				late++
			}
		}
	}
	return late / math.Max(float64(n), 1)
}

// Latency returns a quantile, 0 to 1, of the latencies of the requests that
// arrived in a period and were served.
func (r *Report) Latency(q float64, from, to time.Duration) time.Duration {
	var all []time.Duration
	for _, o := range r.outcomes {
		if o.arrived >= from && o.arrived < to && o.credit > 0 {
			all = append(all, o.latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// scheduleArrival schedules the next request of a class. Each arrival schedules
// its successor.
func (m *Model) scheduleArrival(c *Class, rt *route.Route) {
	gap := time.Duration(m.rng.ExpFloat64() / (c.Rate * m.callersPeak()) * float64(time.Second))
	m.after(gap, func() {
		m.scheduleArrival(c, rt)
		if m.Wave != nil && m.rng.Float64() >= m.Wave(m.now.Sub(m.start)) {
			return
		}
		if c.Wave != nil && m.rng.Float64() >= c.Wave(m.now.Sub(m.start)) {
			return
		}
		caller, ok := m.pickCaller()
		if !ok {
			return
		}
		e := m.arrivalEntryOf(caller)
		object := fmt.Sprintf("%s-%d", c.Kind, m.rng.IntN(c.Objects))
		r := &request{class: c, route: rt, object: object, arrived: m.now, attemptStart: m.now, retriesLeft: caller.retries(), caller: caller, fingerprint: uint64(m.order) * hashMultiplier}
		if c.Single > 0 && m.rng.Float64() < c.Single {
			r.single, r.object = true, fmt.Sprintf("single-%d", m.order)
		}
		e.send(r)
	})
}

// arrivalEntry returns the entry at which a request arrives.
func (m *Model) arrivalEntry() *entry {
	e := m.entries[m.rng.IntN(len(m.entries))]
	if m.Moving != nil && m.rng.Float64() < m.Moving(m.now.Sub(m.start)) {
		regions := len(m.Service.Regions)
		e = m.entries[m.rng.IntN((len(m.entries)+regions-1)/regions)*regions]
	}
	return e
}

func (m *Model) step() {
	m.spread.sample()
	for _, e := range m.entries {
		e.roster.Step(m.now)
		e.order.Step(m.now)
	}
	m.after(stepInterval, m.step)
}

// heartbeat exchanges reports between the entries.
func (m *Model) heartbeat(round uint64) {
	for _, e := range m.entries {
		if err := e.reportLimits(round); err != nil {
			m.report.err = err
			return
		}
	}
	m.shareObjects(round)
	m.after(heartbeatInterval, func() { m.heartbeat(round + 1) })
}

func (m *Model) after(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, event{m.now.Add(d), m.order, run})
}

func (m *Model) complete(r *request, credit float64) {
	if r.done {
		return
	}
	r.done = true
	m.report.outcomes = append(m.report.outcomes, outcome{r.arrived.Sub(m.start), m.now.Sub(r.arrived), credit, r.class, r.caller})
}

func region(i int) id.Region { return id.Region(fmt.Sprintf("region-%d", i)) }

func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if c := q[i].at.Compare(q[j].at); c != 0 {
		return c < 0
	}
	return cmp.Less(q[i].order, q[j].order)
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
