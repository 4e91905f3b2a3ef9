package replay

import (
	"cmp"
	"slices"

	"github.com/shallotpier/shallotpier/internal/homes"
	"github.com/shallotpier/shallotpier/internal/slots/split"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// line is a queue of requests before servers with a number of slots each.
	line struct {
		run *run
		// at is the entry that keeps the line; -1 if it is everywhere.
		at    int
		free  []int
		wait  []*job
		order [][]int
		// refused, if set, is told of requests that are given up.
		refused func(*job)
	}

	// perfect is one line over all slots that every entry knows at once.
	perfect struct{ *line }

	// evenSplit is a line at each entry over its fixed part of the slots.
	evenSplit struct{ lines []*line }

	// handOn has a line at the home of each bucket, which alone sends to the
	// bucket's servers. Entries hand their requests on to the homes.
	handOn struct {
		run    *run
		lines  []*line
		slots  []int
		flight [][]int
	}
)

func newLine(r *run, at int, slots func(server int) int) *line {
	l := &line{run: r, at: at}
	for s := range r.servers {
		l.free = append(l.free, slots(s))
	}
	for e := range r.dead {
		l.order = append(l.order, nearestServers(r, e))
	}
	return l
}

func nearestServers(r *run, entry int) []int {
	order := make([]int, len(r.servers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(r.world.delay(entry, a), r.world.delay(entry, b))
	})
	return order
}

func (l *line) arrive(j *job) {
	if len(l.wait) == 0 && l.start(j) {
		return
	}
	l.wait = append(l.wait, j)
	l.run.at(l.run.lastStart(j), func() {
		if i := slices.Index(l.wait, j); i >= 0 {
			l.wait = slices.Delete(l.wait, i, i+1)
			l.run.refuse(j)
			if l.refused != nil {
				l.refused(j)
			}
		}
	})
}

func (l *line) start(j *job) bool {
	for _, s := range l.order[j.sender] {
		if l.free[s] > 0 {
			l.free[s]--
			l.run.send(j, s)
			return true
		}
	}
	return false
}

func (l *line) release(server int) {
	l.free[server]++
	for len(l.wait) > 0 && l.start(l.wait[0]) {
		l.wait = l.wait[1:]
	}
}

func (l *line) drop(entry int) {
	l.wait = slices.DeleteFunc(l.wait, func(j *job) bool {
		if j.Entry == entry || l.at == entry {
			l.run.result.lost++
			return true
		}
		return false
	})
}

func (p *perfect) start(r *run) {
	p.line = newLine(r, -1, func(s int) int { return r.servers[s].slots })
}

func (p *perfect) arrive(j *job)  { p.line.arrive(j) }
func (p *perfect) done(j *job)    { p.release(j.server) }
func (p *perfect) lose(entry int) { p.drop(entry) }

func (e *evenSplit) start(r *run) {
	for i := range r.dead {
		e.lines = append(e.lines, newLine(r, i, func(s int) int {
			return split.Share(r.world.Service.Servers[s].Name, r.servers[s].slots, len(r.dead), i)
		}))
	}
}

func (e *evenSplit) arrive(j *job)  { e.lines[j.Entry].arrive(j) }
func (e *evenSplit) done(j *job)    { e.lines[j.sender].release(j.server) }
func (e *evenSplit) lose(entry int) { e.lines[entry].drop(entry) }

func (h *handOn) start(r *run) {
	h.run = r
	home := bucketHomes(r.world, -1)
	h.slots = make([]int, len(r.dead))
	for s := range r.servers {
		h.slots[home[r.world.Service.Servers[s].Zone]] += r.servers[s].slots
	}
	for i := range r.dead {
		h.flight = append(h.flight, make([]int, len(r.dead)))
		l := newLine(r, i, func(s int) int {
			if home[r.world.Service.Servers[s].Zone] == i {
				return r.servers[s].slots
			}
			return 0
		})
		l.refused = h.back
		h.lines = append(h.lines, l)
	}
}

// arrive hands a request on to the home with most slots for what this entry
// has under way there.
func (h *handOn) arrive(j *job) {
	best, load := -1, 0.0
	for home, slots := range h.slots {
		if slots == 0 || h.run.dead[home] {
			continue
		}
		if at := float64(h.flight[j.Entry][home]+1) / float64(slots); best < 0 || at < load {
			best, load = home, at
		}
	}
	if best < 0 {
		h.run.refuse(j)
		return
	}
	h.flight[j.Entry][best]++
	j.sender = best
	h.run.after(h.run.world.between(j.Entry, best), func() {
		if h.run.dead[best] {
			h.run.result.lost++
			return
		}
		h.lines[best].arrive(j)
	})
}

func (h *handOn) done(j *job) {
	h.lines[j.sender].release(j.server)
	h.run.after(h.run.world.between(j.Entry, j.sender), func() { h.back(j) })
}

func (h *handOn) back(j *job) { h.flight[j.Entry][j.sender]-- }

func (h *handOn) lose(entry int) { h.lines[entry].drop(entry) }

// bucketHomes returns the entry that is home of each availability zone's
// servers, when the skipped entry is lost.
func bucketHomes(w *World, skip int) map[id.Zone]int {
	var (
		candidates []homes.Candidate
		index      = map[id.Instance]int{}
		out        = map[id.Zone]int{}
	)
	for i, e := range w.Deployment.Entries {
		index[e.Name] = i
		if i != skip {
			region, _ := w.Deployment.Region(e.Zone)
			candidates = append(candidates, homes.Candidate{Instance: e.Name, Zone: e.Zone, Region: region})
		}
	}
	for _, r := range w.Deployment.Regions {
		for _, z := range r.Zones {
			home, _ := homes.Choose(homes.Bucket{Service: w.Service.Service, Zone: z, Region: r.Name}, candidates)
			out[z] = index[home]
		}
	}
	return out
}
