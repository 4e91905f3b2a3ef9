// Package dispatch chooses the backend server for a request.
//
// The preferred server is the owner of the request's object, the one with the highest
// score in rendezvous hashing. A server answers much faster for objects that it
// handled recently, so a short queue at the owner is better than a free slot
// elsewhere. Owners are chosen among the servers of all regions, which spreads
// objects over all servers. Uploads are owned by a server of the entry's own region
// as far as its share of the servers allows, since their bytes would fill the links
// between regions.
//
// The next server in the object's ranking takes over as owner if the first one
// failed, is an outlier in its service, or this entry has used up its share of the
// owner's slow start rate or of the limit that it has named. It also gets the request if
// the owner has a long queue and it has spare capacity itself.
// The ranking is the same at all entries, so an object that is too hot for one server
// gets a second one that all entries use. A server that recently handled the object
// and is less busy gets requests on it as soon as the owner has no free slot. While
// no server has spare capacity, requests stay with their owners or are refused: they
// take more work at any other server, and the overload would sustain itself.
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

	"github.com/shallotpier/shallotpier/internal/organisation"
	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Defaults for the limits that a Dispatcher leaves unset.
const (
	// fullQueue is the load at which a request waits about as long as the work that a
	// server saves for an object that it handled recently.
	fullQueue = 2.0
	// overflow is slightly above fullQueue. Servers refuse requests that they can't
	// queue, without running them.
	overflow = 2.5
	// warmLoad keeps a slot free at a server whose reported load is slightly out of
	// date.
	warmLoad = 0.8
	// warmShare prevents moving requests between servers of about the same load.
	warmShare = 0.7
	// spareLoad is small because load reports arrive late and all entries act on the
	// same reports.
	spareLoad = 0.5
	// queueObjectives is about the longest wait that still gives a useful answer.
	// Answers that come much later are worth little, and the queue would delay the
	// requests behind them as well.
	queueObjectives = 1.5
	// alwaysQueueShare leaves room for the variance of response times. Of the requests
	// that are expected to take all of their time, about half miss their deadline,
	// and their work is lost.
	alwaysQueueShare = 0.6
)

const (
	// anyLoad accepts an owner regardless of its load.
	anyLoad = math.MaxFloat64
	// localSeed selects the objects that are owned within a region. Any value works
	// that is not the seed of a server.
	localSeed = 0x6c6f63616c
)

// Reasons for a choice.
const (
	// Owner means that the server is the highest ranked one.
	Owner Reason = "owner"
	// Even means that the request names no object, and that the chosen server is expected to
	// take less time for it than the highest ranked one.
	Even Reason = "even"
	// Warm means that the owner has no free slot, and that the chosen server is
	// warm for the object (it recently got requests on it) and has a free slot or a
	// much lower load.
	Warm Reason = "familiar"
	// Spill means that the owner has a long queue and the chosen server has spare
	// capacity.
	Spill Reason = "spill"
	// Queue means that no server has spare capacity and the owner can still queue the
	// request.
	Queue Reason = "queue"
	// Full means that the owner's queue is too long, or too slow for the time that
	// the request has left, and no server has spare capacity.
	Full Reason = "full"
	// NoServer means that no server is eligible for the request.
	NoServer Reason = "noServer"
	// Limited means that only limits that servers have named keep them from being
	// eligible.
	Limited Reason = "limited"
)

type (
	// Reason explains the choice of a server, or why none was chosen.
	Reason string

	// Choice is the server chosen for a request, with the reason.
	Choice struct {
		// Server is the chosen server, nil if no server may get the request now.
		Server *roster.Member
		// Reason explains the choice.
		Reason Reason
		// Owner is the highest ranked eligible server, nil if there is none.
		Owner *roster.Member
		// OwnerRequests is the estimated number of requests of all entries at the owner.
		OwnerRequests float64
		// Limited is the server that would be the owner if this entry had not used up
		// its share of the server's limit, nil if there is none.
		Limited *roster.Member
		// Next is the earliest time at which a server may get the request. It is set
		// if Reason is Limited.
		Next time.Time
	}

	// Request holds what the choice depends on.
	Request struct {
		// Service is the service that gets the request.
		Service id.Service
		// Route is the request's route.
		Route *route.Route
		// Organisation is the organisation that the request's caller belongs to, nil if
		// there is none.
		Organisation *organisation.Organisation
		// Regions are the regions that the entry has allowed that passed the request on;
		// empty allows all.
		Regions []id.Region
		// Key identifies the request's object, see [owner.Key].
		Key uint64
		// Tried are servers that must not be chosen again.
		Tried []id.Server
		// Left is the time until the request's deadline; 0 means no deadline.
		Left time.Duration
		// Draw is a uniform random number from 0 to 1. It decides which requests are
		// refused while not all can be answered in time.
		Draw float64
		// Ordered is set if Draw is the request's place in an order of refusal, which was
		// derived from Uniform. Objective then replaces that of the route for the decision
		// whether a request is queued.
		Ordered   bool
		Uniform   float64
		Objective time.Duration
		// Recurring is set if the request names its object, so that further requests on it
		// are to be expected.
		Recurring bool

		// preferred is the server that the request should go to for an even load, nil if
		// only the ranking decides.
		preferred *roster.Member
		// local is set if the object is owned within the entry's region.
		local bool
	}

	// Dispatcher chooses servers. It is safe for concurrent use.
	Dispatcher struct {
		// Roster holds the servers.
		Roster *roster.Roster
		// Region is the region of the entry.
		Region id.Region
		// Limits set when a request leaves its owner; a limit of 0 selects its
		// default.
		Limits Limits

		warm warmSet
		even evenSet
	}

	// Limits set when a request leaves its owner. A load is the number of requests of
	// all entries as a multiple of a server's slots.
	Limits struct {
		// FullQueue is the owner's load from which servers with spare capacity are
		// tried.
		FullQueue float64
		// Overflow is the owner's load from which a request is refused.
		Overflow float64
		// WarmLoad is the load below which a warm server for the object takes
		// requests of an owner without a free slot.
		WarmLoad float64
		// WarmShare is the same limit as a fraction of the owner's load. The
		// greater of the two applies.
		WarmShare float64
		// SpareLoad is the load below which a server takes requests on objects that
		// it is not warm for.
		SpareLoad float64
		// QueueObjectives is the longest expected latency at which a request is still
		// queued, in multiples of the route's latency objective.
		QueueObjectives float64
		// AlwaysQueueShare is the fraction of that latency, or of the time until the
		// request's deadline if that is shorter, within which a request is always
		// queued.
		AlwaysQueueShare float64
	}

	// candidate is a server with the properties that rank it for a request.
	candidate struct {
		member  *roster.Member
		healthy bool // not an outlier
		near    bool // in the preferred region
		even    bool // preferred for an even load
		score   uint64
	}

	// search is the result of a search for the highest ranked eligible server.
	search struct {
		// found is the server, nil if there is none.
		found *roster.Member
		// limited is the highest ranked server above it that only its limit keeps from
		// being eligible, and next the earliest time at which such a server is.
		limited *roster.Member
		next    time.Time
	}
)

// withDefaults replaces limits of 0 by their defaults.
func (l Limits) withDefaults() Limits {
	return Limits{
		FullQueue: cmp.Or(l.FullQueue, fullQueue), Overflow: cmp.Or(l.Overflow, overflow),
		WarmLoad: cmp.Or(l.WarmLoad, warmLoad), WarmShare: cmp.Or(l.WarmShare, warmShare),
		SpareLoad: cmp.Or(l.SpareLoad, spareLoad), QueueObjectives: cmp.Or(l.QueueObjectives, queueObjectives),
		AlwaysQueueShare: cmp.Or(l.AlwaysQueueShare, alwaysQueueShare),
	}
}

// Choose returns the server for a request and begins the request there: the caller
// must call End of the server.
func (d *Dispatcher) Choose(now time.Time, req *Request) Choice {
	view := d.Roster.View()
	req = d.withEvenLoad(now, view, d.withPlacement(view, req))
	var skipped []*roster.Member
	for {
		c := d.pick(now, view, req, skipped)
		if c.Server == nil {
			return c
		}
		if c.Server.Begin(now) {
			d.warm.note(now, req.Key, c.Server.Name)
			return c
		}
		// A concurrent request used up the server's cold rate.
		skipped = append(skipped, c.Server)
	}
}

// Explain returns the choice that Choose would make, without beginning a request, and
// all servers of the service in the order of their rank for the request's object.
func (d *Dispatcher) Explain(now time.Time, req *Request) (Choice, []*roster.Member) {
	view := d.Roster.View()
	req = d.withEvenLoad(now, view, d.withPlacement(view, req))
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
	limits := d.Limits.withDefaults()
	s := d.best(now, members, req, anyLoad, skipped)
	first := s.found
	switch {
	case first == nil && s.limited != nil:
		return Choice{Reason: Limited, Limited: s.limited, Next: s.next}
	case first == nil:
		return Choice{Reason: NoServer}
	}
	c := Choice{Server: first, Reason: Owner, Owner: first, OwnerRequests: first.EstimatedRequests(now), Limited: s.limited}
	if !req.Recurring && first == req.preferred {
		c.Reason = Even
	}
	load := c.OwnerRequests / first.Capacity(now)
	if load < 1 {
		return c
	}
	if m := d.warmServer(now, view, req, max(limits.WarmLoad, limits.WarmShare*load), skipped); m != nil {
		c.Server, c.Reason = m, Warm
		return c
	}
	timely := inTime(now, first, req, &limits)
	switch {
	case load >= limits.FullQueue:
	case timely && load < req.overflow(&limits):
		return c
	case req.Ordered && inTime(now, first, req.unordered(), &limits):
		// Its place refuses it before its owner's queue is long. Any other server would take
		// more work for it.
		c.Server, c.Reason = nil, Full
		return c
	}
	if m := d.best(now, members, req, limits.SpareLoad, skipped).found; m != nil {
		c.Server, c.Reason = m, Spill
		return c
	}
	if load < req.overflow(&limits) && timely {
		c.Reason = Queue
		return c
	}
	c.Server, c.Reason = nil, Full
	return c
}

// inTime reports whether a request that queues at a server is expected to be answered
// in time. If the expected latency is between [Limits.AlwaysQueueShare] and all of
// the available time, a fraction of the requests is refused that grows with the
// expected latency: entries that see the same load then don't all start refusing at
// the same moment.
func inTime(now time.Time, m *roster.Member, req *Request, limits *Limits) bool {
	left := req.Left
	if o := time.Duration(float64(req.objective()) * limits.QueueObjectives); o > 0 && (left <= 0 || o < left) {
		left = o
	}
	if left <= 0 {
		return true
	}
	share := float64(m.ExpectedLatency(now)) / float64(left)
	always := req.alwaysQueueShare(limits)
	return share < always+(1-always)*req.Draw
}

// warmServer returns the least busy server that is warm for the request's object and
// whose load is below limit; nil if there is none.
func (d *Dispatcher) warmServer(now time.Time, view *roster.View, req *Request, limit float64, skipped []*roster.Member) *roster.Member {
	var found *roster.Member
	least := limit
	for _, name := range d.warm.servers(now, req.Key) {
		m := view.Member(req.Service, name)
		if m == nil {
			continue
		}
		load := m.EstimatedRequests(now) / m.Capacity(now)
		if load < least && !m.Outlier() && d.isNear(m, req) && allowed(m, req, skipped) && m.Ready(now) {
			found, least = m, load
		}
	}
	return found
}

// allowed reports whether the request itself permits a server.
func allowed(m *roster.Member, req *Request, skipped []*roster.Member) bool {
	return req.Allows(m.Region) && !slices.Contains(req.Tried, m.Name) && !slices.Contains(skipped, m)
}

// best searches for the highest ranked eligible server with fewer requests than limit
// times its slots.
func (d *Dispatcher) best(now time.Time, members []*roster.Member, req *Request, limit float64, skipped []*roster.Member) search {
	var (
		top, limited candidate
		earliest     time.Time
	)
	for _, m := range members {
		c := d.candidate(m, req)
		if top.member != nil && !c.before(&top) {
			continue
		}
		if m.EstimatedRequests(now) >= limit*m.Capacity(now) || !allowed(m, req, skipped) {
			continue
		}
		ready, next := m.Readiness(now)
		switch {
		case ready:
			top = c
		case next.IsZero():
		default:
			if limited.member == nil || c.before(&limited) {
				limited = c
			}
			if earliest.IsZero() || next.Before(earliest) {
				earliest = next
			}
		}
	}
	if limited.member != nil && top.member != nil && top.before(&limited) {
		limited = candidate{}
	}
	return search{found: top.member, limited: limited.member, next: earliest}
}

func (d *Dispatcher) candidate(m *roster.Member, req *Request) candidate {
	return candidate{m, !m.Outlier(), d.isNear(m, req), m == req.preferred, owner.Score(req.Key, m.Seed)}
}

// isNear reports whether a server is in the region where the request's bytes should
// stay.
func (d *Dispatcher) isNear(m *roster.Member, req *Request) bool {
	return !req.local || m.Region == d.Region
}

// withPlacement returns the request with the decision whether its object is owned
// within the entry's region. Only uploads are. The share of objects that is owned
// locally is the number of the region's servers divided by the mean over all regions,
// at most 1, and is the same at all entries of the region. The other objects are
// owned among the servers of all regions, so that callers of a region with few
// servers don't overload those. Only regions that the request allows count.
func (d *Dispatcher) withPlacement(view *roster.View, req *Request) *Request {
	if req.Route.Kind != service.Upload {
		return req
	}
	own, all, regions := 0, 0, 0
	for region, servers := range view.Regions(req.Service) {
		if !req.Allows(region) {
			continue
		}
		regions++
		if all += servers; region == d.Region {
			own = servers
		}
	}
	out := *req
	out.local = float64(own*regions) > float64(all)*owner.Fraction(req.Key, localSeed)
	return &out
}

// before reports whether c ranks above o.
func (c *candidate) before(o *candidate) bool {
	switch {
	case c.healthy != o.healthy:
		return c.healthy
	case c.near != o.near:
		return c.near
	case c.even != o.even:
		return c.even
	default:
		return c.score > o.score
	}
}
