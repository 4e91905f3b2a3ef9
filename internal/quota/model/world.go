package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/internal/quota/authority"
	"github.com/shallotpier/shallotpier/internal/quota/rank"
)

const (
	// heartbeatTimeout is how long an entry that isn't heard counts as alive.
	heartbeatTimeout = 2600 * time.Millisecond
	// viewInterval is the interval at which entries update what they know of others.
	viewInterval = 500 * time.Millisecond
	// listInterval is the interval at which entries list all entries.
	listInterval = 10 * time.Second
	// stopTime is how long an entry that shuts down still serves.
	stopTime = 5 * time.Second
	// sendDelay is the longest time from the decision on a request to its sending.
	sendDelay = 3 * time.Millisecond
)

type (
	// Config configures a world.
	Config struct {
		// Entries is their number at the start, in zones of 6 in three regions.
		Entries int
		// Seed seeds all randomness.
		Seed uint64
		// Bounds are those of the windows.
		Bounds quota.Bounds
		// Organisations are the organisations.
		Organisations []quota.Organisation
		// Lost, Late and Doubled are the fractions of datagrams to which this happens.
		Lost, Late, Doubled float64
		// Greedy makes entries ask for many times the tokens that they need: the bound must
		// hold for any demand.
		Greedy bool
	}

	// World is a number of entries in virtual time.
	World struct {
		// Counts of requests, by outcome.
		Granted, Exceeded, Unavailable int
		// Needless is the number of requests that were refused over the limit while each
		// part had a token, on average.
		Needless int
		// Waited is the number of requests that waited, LongestWait the longest.
		Waited      int
		LongestWait time.Duration
		// Questions and Wants count the questions between entries, and the organisations in
		// them. Bytes counts those of questions and answers.
		Questions, Wants, Bytes int

		config  Config
		rng     *rand.Rand
		now     time.Duration
		queue   queue
		seq     uint64
		entries []*entry
		keys    []uint64
		limits  []quota.Organisation
		inForce []time.Duration // when the last process has applied limits
		sent    [][]time.Duration
	}

	event struct {
		at  time.Duration
		seq uint64
		run func()
	}

	queue []event
)

// New returns a world whose entries know each other and have granted nothing.
func New(c Config) *World {
	w := &World{config: c, rng: rand.New(rand.NewPCG(c.Seed, 1))}
	for i := range c.Organisations {
		w.keys = append(w.keys, rank.Key(c.Organisations[i].Name))
	}
	w.limits, w.inForce = slices.Clone(c.Organisations), make([]time.Duration, len(c.Organisations))
	w.sent = make([][]time.Duration, len(c.Organisations))
	for range c.Entries {
		w.add()
	}
	for _, e := range w.entries {
		e.known = slices.Clone(w.entries)
		e.since = -authority.KnownAfter
		e.rule.Registered(e.clock(), w.now-e.since)
		e.tick(e.life)
	}
	return w
}

// Now returns the time.
func (w *World) Now() time.Duration { return w.now }

// Entries returns the number of entries, with those that are not running.
func (w *World) Entries() int { return len(w.entries) }

// Running reports whether an entry serves.
func (w *World) Running(entry int) bool { return w.entries[entry].up }

// At runs f at a time.
func (w *World) At(at time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{max(at, w.now), w.seq, f})
}

// Run runs until a time.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e, _ := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// Add adds an entry, which the others get to know within the interval of their lists.
func (w *World) Add() {
	e := w.add()
	e.known = slices.Clone(w.entries)
	e.since = w.now
	e.rule.Registered(e.clock(), 0)
	for _, other := range w.entries[:len(w.entries)-1] {
		w.At(w.now+time.Duration(w.rng.Int64N(int64(listInterval))), func() {
			if !slices.Contains(other.known, e) {
				other.known = append(slices.Clone(other.known), e)
				other.dirty = true
			}
		})
	}
	e.dirty = true
	e.tick(e.life)
}

func (w *World) add() *entry {
	n := len(w.entries)
	zone := n % 6
	e := &entry{
		w: w, index: n, zone: zone, region: zone / 2, up: true, dirty: true,
		addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 8), byte(n), 1}), 9000),
		offset: boottime.Instant(1 + w.rng.Int64N(int64(1000*time.Hour))),
	}
	e.seed = rank.Seed(e.addr)
	e.organisations = make([]state, len(w.config.Organisations))
	for i := range e.organisations {
		e.limit(i, &w.limits[i])
	}
	w.entries = append(w.entries, e)
	return e
}

// Kill ends the process of an entry at once and starts it again after a time.
func (w *World) Kill(entry int, down time.Duration) {
	e := w.entries[entry]
	if !e.up || e.left {
		return
	}
	e.up = false
	e.life++
	for i := range w.limits {
		if e.organisations[i].limit != w.limits[i] {
			w.inForce[i] = w.now // until now it had the limit before
		}
	}
	w.At(w.now+down, func() {
		e.up, e.dirty, e.paused, e.rule = true, true, 0, authority.Rule{}
		e.organisations = make([]state, len(w.limits))
		for i := range w.limits {
			e.limit(i, &w.limits[i])
		}
		e.rule.Registered(e.clock(), w.now-e.since)
		e.tick(e.life)
	})
}

// Leave lets an entry shut down: it grants no more tokens and removes its registration, which
// the others notice within the interval of their lists.
func (w *World) Leave(index int) {
	e := w.entries[index]
	if e.up && !e.left {
		e.run(e.life, func() { w.leave(e) })
	}
}

func (w *World) leave(e *entry) {
	e.left = true
	e.update()
	w.At(w.now+stopTime, func() { e.up = false })
	for _, other := range w.entries {
		if other == e {
			continue
		}
		w.At(w.now+time.Duration(w.rng.Int64N(int64(listInterval))), func() {
			other.known = slices.DeleteFunc(slices.Clone(other.known), func(k *entry) bool { return k == e })
			other.dirty = true
		})
	}
}

// Pause stops an entry for a time; its clock and the datagrams for it go on.
func (w *World) Pause(entry int, span time.Duration) {
	e := w.entries[entry]
	e.paused = max(e.paused, w.now+span)
}

// Cut cuts an entry off from all others for a time.
func (w *World) Cut(entry int, span time.Duration) {
	e := w.entries[entry]
	e.cut = max(e.cut, w.now+span)
}

// Partition cuts the entries of a region off from the others for a time.
func (w *World) Partition(region int, span time.Duration) {
	for _, e := range w.entries {
		if e.region == region {
			e.split = max(e.split, w.now+span)
		}
	}
}

// Limit changes the limit of an organisation: it takes effect at each entry within 3 s.
func (w *World) Limit(organisation int, limit quota.Organisation) {
	w.limits[organisation] = limit
	for _, e := range w.entries {
		life := e.life
		w.At(w.now+time.Duration(w.rng.Int64N(int64(3*time.Second))), func() {
			e.run(life, func() {
				e.limit(organisation, &limit)
				w.inForce[organisation] = w.now
			})
		})
	}
}

// InForce returns the time at which the last change of a limit was in force everywhere.
func (w *World) InForce(organisation int) time.Duration { return w.inForce[organisation] }

// Request lets a request of an organisation arrive at an entry.
func (w *World) Request(at time.Duration, entry, organisation int) {
	w.At(at, func() {
		e := w.entries[entry]
		if e.up {
			e.run(e.life, func() { e.request(organisation) })
		}
	})
}

// Accountable returns the entries that are accountable for an organisation, if all know all.
func (w *World) Accountable(organisation int) []int {
	var indexes []int
	var seeds []uint64
	for _, e := range w.entries {
		if !e.left {
			indexes, seeds = append(indexes, e.index), append(seeds, e.seed)
		}
	}
	var all []int
	for _, i := range rank.First(w.keys[organisation], seeds) {
		if i >= 0 {
			all = append(all, indexes[i])
		}
	}
	return all
}

// Sent returns the number of requests of an organisation that were sent in a span.
func (w *World) Sent(organisation int, from, to time.Duration) int {
	n := 0
	for _, at := range w.sent[organisation] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Worst returns the most requests of an organisation that were sent in any window that begins
// in a span.
func (w *World) Worst(organisation int, from, to time.Duration) int {
	sent := w.sent[organisation]
	slices.Sort(sent)
	worst, end := 0, 0
	for i, at := range sent {
		for end < len(sent) && sent[end] < at+w.config.Bounds.Window {
			end++
		}
		if at >= from && at < to {
			worst = max(worst, end-i)
		}
	}
	return worst
}

// String describes the world for failed tests.
func (w *World) String() string {
	return fmt.Sprintf("%d entries, seed %d", len(w.entries), w.config.Seed)
}

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
