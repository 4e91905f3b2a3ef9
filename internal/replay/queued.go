package replay

import (
	"cmp"
	"slices"

	"github.com/shallotpier/shallotpier/internal/homes"
	"github.com/shallotpier/shallotpier/internal/slots/split"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// slotQueue is a FIFO queue of requests that wait for slots of servers.
	slotQueue struct {
		run *run
		// entry is the entry that holds the queue; -1 if all entries share it.
		entry       int
		free        []int
		waiting     []*job
		serverOrder [][]int
		// onRefuse, if not nil, is called with each refused request.
		onRefuse func(*job)
	}

	// perfect is a single queue for all slots, shared by all entries without
	// delay.
	perfect struct{ *slotQueue }

	// evenSplit has a queue at each entry for a fixed, equal share of the slots.
	evenSplit struct{ queues []*slotQueue }

	// oneHome has a queue at the home entry of each bucket, which is the only
	// entry that sends to the bucket's servers. The other entries forward their
	// requests to the home entries.
	oneHome struct {
		run      *run
		queues   []*slotQueue
		slots    []int
		inFlight [][]int
	}
)

func newSlotQueue(r *run, entry int, slots func(server int) int) *slotQueue {
	q := &slotQueue{run: r, entry: entry}
	for s := range r.servers {
		q.free = append(q.free, slots(s))
	}
	for e := range r.failed {
		q.serverOrder = append(q.serverOrder, nearestServers(r, e))
	}
	return q
}

func nearestServers(r *run, entry int) []int {
	order := make([]int, len(r.servers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(r.env.serverDelay(entry, a), r.env.serverDelay(entry, b))
	})
	return order
}

func (q *slotQueue) arrive(j *job) {
	if len(q.waiting) == 0 && q.start(j) {
		return
	}
	q.waiting = append(q.waiting, j)
	q.run.at(q.run.lastStart(j), func() {
		if i := slices.Index(q.waiting, j); i >= 0 {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			q.run.refuse(j)
			if q.onRefuse != nil {
				q.onRefuse(j)
			}
		}
	})
}

func (q *slotQueue) start(j *job) bool {
	for _, s := range q.serverOrder[j.sender] {
		if q.free[s] > 0 {
			q.free[s]--
			q.run.send(j, s)
			return true
		}
	}
	return false
}

func (q *slotQueue) release(server int) {
	q.free[server]++
	for len(q.waiting) > 0 && q.start(q.waiting[0]) {
		q.waiting = q.waiting[1:]
	}
}

func (q *slotQueue) dropEntry(entry int) {
	q.waiting = slices.DeleteFunc(q.waiting, func(j *job) bool {
		if j.Entry == entry || q.entry == entry {
			q.run.result.lost++
			return true
		}
		return false
	})
}

func (p *perfect) start(r *run) {
	p.slotQueue = newSlotQueue(r, -1, func(s int) int { return r.servers[s].slots })
}

func (p *perfect) arrive(j *job)         { p.slotQueue.arrive(j) }
func (p *perfect) completed(j *job)      { p.release(j.server) }
func (p *perfect) entryFailed(entry int) { p.dropEntry(entry) }

func (e *evenSplit) start(r *run) {
	for i := range r.failed {
		e.queues = append(e.queues, newSlotQueue(r, i, func(s int) int {
			return split.Share(r.env.Service.Servers[s].Name, r.servers[s].slots, len(r.failed), i)
		}))
	}
}

func (e *evenSplit) arrive(j *job)         { e.queues[j.Entry].arrive(j) }
func (e *evenSplit) completed(j *job)      { e.queues[j.sender].release(j.server) }
func (e *evenSplit) entryFailed(entry int) { e.queues[entry].dropEntry(entry) }

func (h *oneHome) start(r *run) {
	h.run = r
	home := bucketHomes(r.env, -1)
	h.slots = make([]int, len(r.failed))
	for s := range r.servers {
		h.slots[home[r.env.Service.Servers[s].Zone]] += r.servers[s].slots
	}
	for i := range r.failed {
		h.inFlight = append(h.inFlight, make([]int, len(r.failed)))
		q := newSlotQueue(r, i, func(s int) int {
			if home[r.env.Service.Servers[s].Zone] == i {
				return r.servers[s].slots
			}
			return 0
		})
		q.onRefuse = h.finished
		h.queues = append(h.queues, q)
	}
}

// arrive forwards a request to the home entry with the fewest requests in flight
// from this entry per slot.
func (h *oneHome) arrive(j *job) {
	best, load := -1, 0.0
	for home, slots := range h.slots {
		if slots == 0 || h.run.failed[home] {
			continue
		}
		if l := float64(h.inFlight[j.Entry][home]+1) / float64(slots); best < 0 || l < load {
			best, load = home, l
		}
	}
	if best < 0 {
		h.run.refuse(j)
		return
	}
	h.inFlight[j.Entry][best]++
	j.sender = best
	h.run.after(h.run.env.entryDelay(j.Entry, best), func() {
		if h.run.failed[best] {
			h.run.result.lost++
			return
		}
		h.queues[best].arrive(j)
	})
}

func (h *oneHome) completed(j *job) {
	h.queues[j.sender].release(j.server)
	h.run.after(h.run.env.entryDelay(j.Entry, j.sender), func() { h.finished(j) })
}

func (h *oneHome) finished(j *job) { h.inFlight[j.Entry][j.sender]-- }

func (h *oneHome) entryFailed(entry int) { h.queues[entry].dropEntry(entry) }

// bucketHomes returns the home entry of the servers of each availability zone. The
// entry skip, if not -1, is excluded as failed.
func bucketHomes(env *Environment, skip int) map[id.Zone]int {
	var (
		candidates []homes.Candidate
		index      = map[id.Instance]int{}
		out        = map[id.Zone]int{}
	)
	for i, e := range env.Deployment.Entries {
		index[e.Name] = i
		if i != skip {
			region, _ := env.Deployment.Region(e.Zone)
			candidates = append(candidates, homes.Candidate{Instance: e.Name, Zone: e.Zone, Region: region})
		}
	}
	for _, r := range env.Deployment.Regions {
		for _, z := range r.Zones {
			home, _ := homes.Choose(homes.Bucket{Service: env.Service.Service, Zone: z, Region: r.Name}, candidates)
			out[z] = index[home]
		}
	}
	return out
}
