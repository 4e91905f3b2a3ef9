package dispatch

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/evenload"
	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// maxTries is the maximum number of servers among which a request that names no object
	// chooses, and triesPart the part of the servers that it may choose from, as a divisor.
	// With more of them, all entries would send such requests to the same few servers.
	maxTries  = 8
	triesPart = 3
	// objectShare is the assumed part of a service's load that is due to objects: the
	// expected load of a server with twice as many of them as others is half as high
	// again.
	objectShare = 0.5
	// placementDelay is how long after the first request objects are only learnt. Until
	// entries know most of them, each new object moves others, and each move costs a first
	// run at another server.
	placementDelay = 10 * time.Second
	// drawParts is a factor by which a second draw is derived from that of a request.
	drawParts = 4096
	// repeatRounds is the number of heartbeats of which one tells again of objects that
	// others have been told of, so that new entries learn of them.
	repeatRounds = 8
)

type (
	// evenSet holds the placements of the services whose servers report their pace. The
	// zero evenSet is ready for use.
	evenSet struct {
		mu       sync.Mutex
		services map[id.Service]*placed
	}

	// placed is the placement of a service's objects on the members of a view.
	placed struct {
		members   []*roster.Member
		placement evenload.Placement
		// scopes are the sets of regions in which objects may be owned, by the value that
		// identifies them and the service in notices.
		scopes map[uint16][]id.Region
		// since is the time of the first request on an object.
		since time.Time
	}

	// scope is a set of regions of a service.
	scope struct {
		id     uint16
		placed *placed
	}
)

// withEvenLoad returns the request with the server that it should go to, if the servers of its
// service report their pace.
func (d *Dispatcher) withEvenLoad(now time.Time, view *roster.View, req *Request) *Request {
	members := view.Members(req.Service)
	if len(members) == 0 || !members[0].ReportsPace(now) {
		return req
	}
	out := *req
	if !req.Recurring {
		out.preferred = d.soonest(now, members, req)
		return &out
	}
	out.preferred = d.placedOwner(now, members, &out)
	return &out
}

// soonest returns the server that is expected to do a request that names no object in the least
// time, among those that rank highest for it; nil if there is none.
func (d *Dispatcher) soonest(now time.Time, members []*roster.Member, req *Request) *roster.Member {
	best := d.highest(now, members, req)
	candidates := make([]evenload.Candidate, 0, len(best))
	for _, c := range best {
		// Reports of the load are mostly too old to tell the servers apart. The number
		// of objects is known.
		expected := c.member.EstimatedRequests(now) + (d.even.relative(c.member)-1)*objectShare*c.member.MeanRequests(now)
		candidates = append(candidates, evenload.Candidate{Requests: max(expected, 0), Slots: float64(c.member.Slots), Pace: c.member.Pace(now)})
	}
	if len(best) == 0 {
		return nil
	}
	_, draw := math.Modf(req.uniform() * drawParts)
	return best[evenload.Pick(candidates, draw)].member
}

// highest returns the highest ranked eligible servers that are no outliers, the first ones.
func (d *Dispatcher) highest(now time.Time, members []*roster.Member, req *Request) []candidate {
	count := d.tries(members, req)
	best := make([]candidate, 0, count+1)
	for _, m := range members {
		c := candidate{member: m, score: owner.Score(req.Key, m.Seed)}
		if len(best) == count && best[count-1].score >= c.score {
			continue
		}
		if m.Outlier() || !d.isNear(m, req) || !allowed(m, req, nil) || !m.Ready(now) {
			continue
		}
		at := slices.IndexFunc(best, func(b candidate) bool { return b.score < c.score })
		if at < 0 {
			at = len(best)
		}
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), count)]
	}
	return best
}

// tries returns the number of servers among which a request that names no object chooses.
func (d *Dispatcher) tries(members []*roster.Member, req *Request) int {
	near := len(members)
	if req.local {
		near = 0
		for _, m := range members {
			if d.isNear(m, req) {
				near++
			}
		}
	}
	return min(max(near/triesPart, 2), maxTries)
}

// placedOwner returns the server that owns the request's object, nil if none does or if the
// entry may not know most of the objects yet.
func (d *Dispatcher) placedOwner(now time.Time, members []*roster.Member, req *Request) *roster.Member {
	regions := req.Route.Regions
	if req.local && req.Route.Allows(d.Region) {
		regions = []id.Region{d.Region}
	}
	s := &d.even
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[id.Service]*placed)
	}
	p := s.services[req.Service]
	if p == nil {
		p = &placed{scopes: make(map[uint16][]id.Region), since: now}
		p.placement.Entry = d.Roster.EntrySeed()
		s.services[req.Service] = p
	}
	p.update(members)
	p.scopes[evenload.Scope(req.Service, regions)] = regions
	i, ok := p.placement.Owner(now, evenload.Object{Key: req.Key, Regions: regions})
	if !ok || now.Sub(p.since) < placementDelay {
		return nil
	}
	return members[i]
}

// relative returns the number of objects of a server as a multiple of its service's mean.
func (s *evenSet) relative(m *roster.Member) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.services[m.Service]
	if p == nil {
		return 1
	}
	i, ok := slices.BinarySearchFunc(p.members, m.Name, func(a *roster.Member, name id.Server) int {
		return strings.Compare(string(a.Name), string(name))
	})
	if !ok {
		return 1
	}
	return p.placement.Relative(i)
}

// update applies a change of the service's servers.
func (p *placed) update(members []*roster.Member) {
	if len(members) == len(p.members) && &members[0] == &p.members[0] {
		return // the same view
	}
	same := slices.EqualFunc(members, p.members, func(a, b *roster.Member) bool {
		return a.Seed == b.Seed && a.Slots == b.Slots && a.Region == b.Region
	})
	p.members = members
	if same {
		return
	}
	servers := make([]evenload.Server, 0, len(members))
	for _, m := range members {
		servers = append(servers, evenload.Server{Seed: m.Seed, Region: m.Region, Capacity: float64(m.Slots)})
	}
	p.placement.SetServers(servers)
}

// Objects returns the number of objects of a service that are placed for an even load.
func (d *Dispatcher) Objects(svc id.Service) int {
	d.even.mu.Lock()
	defer d.even.mu.Unlock()
	if p := d.even.services[svc]; p != nil {
		return p.placement.Len()
	}
	return 0
}

// ObjectNotices returns notices of objects that were recently requested, for other entries, of
// at most the given size in bytes. The round counts the calls.
func (d *Dispatcher) ObjectNotices(now time.Time, round uint64, size int) []byte {
	s := &d.even
	s.mu.Lock()
	defer s.mu.Unlock()
	var scopes []scope
	for _, p := range s.services {
		for one := range p.scopes {
			if p.members[0].ReportsPace(now) {
				scopes = append(scopes, scope{one, p})
			}
		}
	}
	slices.SortFunc(scopes, func(a, b scope) int { return int(a.id) - int(b.id) })
	var out []byte
	for i := range scopes {
		from := scopes[(i+int(round%uint64(len(scopes))))%len(scopes)]
		out = from.placed.placement.AppendNotices(now, out, from.id, from.placed.scopes[from.id], size, round%repeatRounds == 0)
	}
	return out
}

// LearnObjects applies the notices of another entry. Those of services and regions of which
// this entry has had no requests are ignored.
func (d *Dispatcher) LearnObjects(now time.Time, notices []byte) {
	if len(notices) == 0 {
		return
	}
	s := &d.even
	s.mu.Lock()
	defer s.mu.Unlock()
	evenload.ReadNotices(notices, func(scope uint16, age time.Duration, keys []uint64) {
		for _, p := range s.services {
			if regions, ok := p.scopes[scope]; ok {
				p.placement.Learn(now, regions, age, keys)
			}
		}
	})
}
