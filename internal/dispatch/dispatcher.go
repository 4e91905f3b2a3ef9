// Package dispatch chooses the backend server for a request.
//
// The owner of a request's object comes first: a server answers much faster for
// objects that it handled recently, so a short queue at the owner is better than
// a free slot elsewhere. Owners are chosen among all regions, which spreads
// objects by the servers that there are. Uploads are owned by a server of the entry's
// own region as far as its servers go round, since their bytes would fill the links
// between regions.
//
// The next server in the object's ranking is the owner if the first failed, lags
// behind its service, or is cold beyond its rate. It also gets the request if the
// owner has a long queue and it has a free slot itself; the ranking is the same at
// all entries, so an object that is too hot for one server gets a second one that
// all use. While no server has a free slot, requests stay with their owners or are
// refused: elsewhere each would be more work, and overload would sustain itself.
//
// # Usage
//
//	d := dispatch.Dispatcher{Roster: r, Region: "fyn"}
//	c := d.Choose(now, &dispatch.Request{Service: "registry", Key: key, Route: route})
//	if c.Server == nil {
//		return refused(c.Reason)
//	}
//	defer c.Server.End(time.Now(), outcome)
package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Limits of a Dispatcher that names none.
const (
	// fullQueue is a queue in which a request waits about as long as the work that
	// a server saves for an object that it knows.
	fullQueue = 2.0
	// overflow is a little more; servers refuse what they can't queue, unrun.
	overflow = 2.5
	// familiarLoad leaves a free slot at a server whose load is a little out of
	// date.
	familiarLoad = 0.8
	// familiarShare moves nothing between servers of about the same load.
	familiarShare = 0.7
	// spareLoad is small since the reports that servers are judged by are late,
	// and all entries go by them.
	spareLoad = 0.5
	// queueObjectives are about what an answer is worth waiting for: those that
	// come much later are worth little, and the queue would make those behind it
	// late as well.
	queueObjectives = 1.5
	// surelyInTime leaves room for the spread of times around the expected: of
	// requests that are expected to take all of their time, about half run out of
	// it, and their work is lost.
	surelyInTime = 0.6
)

const (
	// anyLoad takes an owner however busy it is.
	anyLoad = math.MaxFloat64
	// localSeed draws the objects that are owned within a region. Any number does
	// that stands for no server.
	localSeed = 0x6c6f63616c
)

// Reasons of a choice.
const (
	// Owner means that the server is the best ranked one.
	Owner Reason = "owner"
	// Familiar means that the owner has no free slot, and the server has one or is
	// much less busy, and was sent requests on the same object.
	Familiar Reason = "familiar"
	// Spill means that the owner has a long queue and the server has room.
	Spill Reason = "spill"
	// Queue means that no server has room, and the owner can still queue.
	Queue Reason = "queue"
	// Full means that the owner's queue is too long or too slow for the request's
	// time, and no server has room.
	Full Reason = "full"
	// NoServer means that no server may get the request.
	NoServer Reason = "noServer"
)

type (
	// Reason says why a server was chosen, or none.
	Reason string

	// Choice is a server for a request, and why.
	Choice struct {
		// Server is the server, nil if none may get the request now.
		Server *roster.Member
		// Reason says why.
		Reason Reason
		// Owner is the best ranked server, nil if there is none.
		Owner *roster.Member
		// OwnerBusy is how many requests the owner has, of all entries.
		OwnerBusy float64
	}

	// Request is what the choice depends on.
	Request struct {
		// Service is the service that gets the request.
		Service id.Service
		// Route is the request's route.
		Route *route.Route
		// Key stands for the request's object, see owner.Key.
		Key uint64
		// Tried are servers that must not be chosen again.
		Tried []id.Server
		// Left is how much time the request has; 0 is no bound.
		Left time.Duration
		// Draw is evenly spread from 0 to 1. It decides who is turned away while
		// not all requests can be answered in time.
		Draw float64

		// local tells that the object is owned within the entry's region.
		local bool
	}

	// Dispatcher chooses servers. It is safe for concurrent use.
	Dispatcher struct {
		// Roster holds the servers.
		Roster *roster.Roster
		// Region is the entry's own.
		Region id.Region
		// Limits say when a request leaves its owner; those that are 0 are the
		// package's own.
		Limits Limits

		visits familiar
	}

	// Limits say when a request leaves its owner. Loads are requests of all
	// entries in multiples of a server's slots.
	Limits struct {
		// FullQueue is the owner's load from which a server with room is asked.
		FullQueue float64
		// Overflow is the owner's load from which a request is turned away.
		Overflow float64
		// FamiliarLoad is the load up to which a server that knows the object
		// takes requests of an owner without a free slot.
		FamiliarLoad float64
		// FamiliarShare is the same as a part of the owner's load.
		FamiliarShare float64
		// SpareLoad is the load up to which a server has room for objects that it
		// doesn't know.
		SpareLoad float64
		// QueueObjectives is how late an answer may be expected, in multiples of
		// the route's objective, so that a request still queues.
		QueueObjectives float64
		// SurelyInTime is the part of that time, or of what is left until the
		// request's deadline, within which a server is expected to answer so that
		// the request queues there for sure.
		SurelyInTime float64
	}

	// candidate is a server with its rank for a request; the greatest is best.
	candidate struct {
		member *roster.Member
		sound  bool // not an outlier
		near   bool // in the preferred region
		score  uint64
	}
)

// orDefault fills in the package's own limits.
func (l Limits) orDefault() Limits {
	return Limits{
		FullQueue: cmp.Or(l.FullQueue, fullQueue), Overflow: cmp.Or(l.Overflow, overflow),
		FamiliarLoad: cmp.Or(l.FamiliarLoad, familiarLoad), FamiliarShare: cmp.Or(l.FamiliarShare, familiarShare),
		SpareLoad: cmp.Or(l.SpareLoad, spareLoad), QueueObjectives: cmp.Or(l.QueueObjectives, queueObjectives),
		SurelyInTime: cmp.Or(l.SurelyInTime, surelyInTime),
	}
}

// Choose returns the server for a request, with the request begun there.
func (d *Dispatcher) Choose(now time.Time, req *Request) Choice {
	view := d.Roster.View()
	req = d.placed(view, req)
	var skipped []*roster.Member
	for {
		c := d.pick(now, view, req, skipped)
		if c.Server == nil {
			return c
		}
		if c.Server.Begin(now) {
			d.visits.note(now, req.Key, c.Server.Name)
			return c
		}
		// Another request took the last of its cold rate.
		skipped = append(skipped, c.Server)
	}
}

// Explain returns the choice that Choose would make, without beginning a request,
// and all servers of the service in the order of the request's object.
func (d *Dispatcher) Explain(now time.Time, req *Request) (Choice, []*roster.Member) {
	view := d.Roster.View()
	req = d.placed(view, req)
	ranking := slices.Clone(view.Members(req.Service))
	slices.SortFunc(ranking, func(a, b *roster.Member) int {
		x, y := d.candidate(a, req), d.candidate(b, req)
		switch {
		case x.before(&y):
			return -1
		case y.before(&x):
			return 1
		default:
			return 0
		}
	})
	return d.pick(now, view, req, nil), ranking
}

// pick returns the server that should get the request.
func (d *Dispatcher) pick(now time.Time, view *roster.View, req *Request, skipped []*roster.Member) Choice {
	members := view.Members(req.Service)
	limits := d.Limits.orDefault()
	first := d.best(now, members, req, anyLoad, skipped)
	if first == nil {
		return Choice{Reason: NoServer}
	}
	c := Choice{Server: first, Reason: Owner, Owner: first, OwnerBusy: first.Busy(now)}
	load := c.OwnerBusy / float64(first.Slots)
	if load < 1 {
		return c
	}
	if m := d.familiar(now, view, req, max(limits.FamiliarLoad, limits.FamiliarShare*load), skipped); m != nil {
		c.Server, c.Reason = m, Familiar
		return c
	}
	timely := inTime(now, first, req, &limits)
	if load < limits.FullQueue && timely {
		return c
	}
	if m := d.best(now, members, req, limits.SpareLoad, skipped); m != nil {
		c.Server, c.Reason = m, Spill
		return c
	}
	if load < limits.Overflow && timely {
		c.Reason = Queue
		return c
	}
	c.Server, c.Reason = nil, Full
	return c
}

// inTime tells whether a request that queues at a server is to be answered in time.
// Between SurelyInTime and all of its time, a part of the requests is turned away
// that grows with the time that they are expected to take: entries that judge by
// the same load then don't all turn away at the same moment.
func inTime(now time.Time, m *roster.Member, req *Request, limits *Limits) bool {
	left := req.Left
	if o := time.Duration(float64(req.Route.Objective) * limits.QueueObjectives); o > 0 && (left <= 0 || o < left) {
		left = o
	}
	if left <= 0 {
		return true
	}
	share := float64(m.Expected(now)) / float64(left)
	return share < limits.SurelyInTime+(1-limits.SurelyInTime)*req.Draw
}

// familiar returns the least busy server that should know the request's object and
// has less than a load; nil if there is none.
func (d *Dispatcher) familiar(now time.Time, view *roster.View, req *Request, limit float64, skipped []*roster.Member) *roster.Member {
	var found *roster.Member
	least := limit
	for _, name := range d.visits.knowing(now, req.Key) {
		m := view.Member(req.Service, name)
		if m == nil {
			continue
		}
		load := m.Busy(now) / float64(m.Slots)
		if load < least && !m.Outlier() && d.near(m, req) && eligible(now, m, req, skipped) {
			found, least = m, load
		}
	}
	return found
}

// eligible tells whether a server may get the request at all.
func eligible(now time.Time, m *roster.Member, req *Request, skipped []*roster.Member) bool {
	return req.Route.Allows(m.Region) && !slices.Contains(req.Tried, m.Name) && !slices.Contains(skipped, m) && m.Ready(now)
}

// best returns the highest ranked server that has fewer requests than limit
// times its slots.
func (d *Dispatcher) best(now time.Time, members []*roster.Member, req *Request, limit float64, skipped []*roster.Member) *roster.Member {
	var top candidate
	for _, m := range members {
		c := d.candidate(m, req)
		if top.member != nil && !c.before(&top) {
			continue
		}
		if m.Busy(now) >= limit*float64(m.Slots) || !eligible(now, m, req, skipped) {
			continue
		}
		top = c
	}
	return top.member
}

func (d *Dispatcher) candidate(m *roster.Member, req *Request) candidate {
	return candidate{m, !m.Outlier(), d.near(m, req), owner.Score(req.Key, m.Seed)}
}

// near tells whether a server stands where the request's bytes should stay.
func (d *Dispatcher) near(m *roster.Member, req *Request) bool {
	return !req.local || m.Region == d.Region
}

// placed returns the request with the decision whether its object is owned within
// the entry's region. Of uploads, as many objects are as the region has servers,
// compared with the mean of the regions; the same at all entries of the region. The
// rest is owned among all, so that callers of a region with few servers don't wait
// for those.
func (d *Dispatcher) placed(view *roster.View, req *Request) *Request {
	if req.Route.Kind != service.Upload {
		return req
	}
	own, all := 0, 0
	regions := view.Regions(req.Service)
	for region, servers := range regions {
		if all += servers; region == d.Region {
			own = servers
		}
	}
	out := *req
	out.local = float64(own*len(regions)) > float64(all)*owner.Fraction(req.Key, localSeed)
	return &out
}

func (c *candidate) before(o *candidate) bool {
	switch {
	case c.sound != o.sound:
		return c.sound
	case c.near != o.near:
		return c.near
	default:
		return c.score > o.score
	}
}
