package evenload

import (
	"math"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// objectTime is how long an object counts as recently requested. With many entries,
	// one of them gets a request on a given object about once a minute.
	objectTime = 5 * time.Minute
	// maxObjects is the maximum number of objects that are placed. Further objects are
	// left to rendezvous hashing.
	maxObjects = 4096
	// preferred is the number of servers to which an object proposes itself at first. The
	// ranking of further ones is computed if all of them refuse.
	preferred = 16
	// minObjects is the least bound of a server: a lower one would move many objects
	// while entries learn of the first ones.
	minObjects = 2
	// slack is by how much a bound exceeds the mean, as a multiple of the standard
	// deviation that the servers' numbers of objects have in rendezvous hashing. With less
	// of it, a new object moves more of the others.
	slack = 0.6
	// rounding exceeds the errors of a mean, which may differ between entries.
	rounding = 1e-9
	// maxRegions is the number of regions that can be told apart.
	maxRegions = 64
	// none is the owner of an object that has none.
	none = -1
)

type (
	// Server is a server that takes objects.
	Server struct {
		// Seed identifies the server in rendezvous hashing.
		Seed uint64
		// Region is its region.
		Region id.Region
		// Capacity is its capacity in any unit.
		Capacity float64
	}

	// Object is an object of requests.
	Object struct {
		// Key identifies the object in rendezvous hashing.
		Key uint64
		// Regions are those whose servers may own the object; empty means all.
		Regions []id.Region
	}

	// Placement assigns objects to servers. The zero Placement has no servers. It is not
	// safe for concurrent use.
	Placement struct {
		// Entry identifies the entry. It selects the order in which other entries are
		// told of objects.
		Entry uint64

		servers []Server
		regions []id.Region
		masks   []uint64 // of the servers' regions
		objects map[identity]*object
		scopes  map[uint64]int // numbers of objects by allowed regions
		held    [][]*object    // by server
		limits  []int          // by server
		swept   time.Time
	}

	// identity tells objects apart. Those of routes that allow different regions are
	// different ones.
	identity struct{ key, regions uint64 }

	object struct {
		identity
		seen  time.Time
		best  []choice // the preferred servers, the best first
		next  int      // number of servers to which it has proposed itself
		owner int      // index of the server that has accepted it, or none
		// notices is the number of notices of it that were given to other entries.
		notices int
	}

	choice struct {
		server int
		score  uint64
	}
)

// SetServers replaces the servers, and places all objects anew.
func (p *Placement) SetServers(servers []Server) {
	p.servers = slices.Clone(servers)
	// The known regions keep their bits, because objects refer to them.
	p.masks = make([]uint64, len(servers))
	for i, s := range servers {
		p.masks[i] = p.mask(s.Region)
	}
	for _, o := range p.objects {
		o.best = nil
	}
	p.resize()
	p.placeAll()
}

// Owner returns the index of the server that owns an object, and records that it was
// requested. It returns false if there are too many objects or no server is allowed.
func (p *Placement) Owner(now time.Time, o Object) (int, bool) {
	p.sweep(now)
	known := p.object(identity{key: o.Key, regions: p.allowed(o.Regions)})
	if known == nil {
		return 0, false
	}
	known.seen = now
	return known.owner, known.owner != none
}

// Bound returns the maximum number of objects of a server, given the mean.
func Bound(mean float64) int {
	mean -= rounding
	return max(int(math.Ceil(mean)), int(mean+slack*math.Sqrt(max(mean, 0))), minObjects)
}

// Relative returns the number of objects of a server as a multiple of the servers' mean, 1 if
// there are none.
func (p *Placement) Relative(server int) float64 {
	if len(p.objects) == 0 {
		return 1
	}
	return float64(len(p.held[server])*len(p.servers)) / float64(len(p.objects))
}

// Len returns the number of objects.
func (p *Placement) Len() int { return len(p.objects) }

// object returns an object, which is placed if it is a new one; nil if there are too many.
func (p *Placement) object(name identity) *object {
	if known := p.objects[name]; known != nil {
		return known
	}
	if len(p.objects) >= maxObjects || len(p.servers) == 0 {
		return nil
	}
	if p.objects == nil {
		p.objects, p.scopes = make(map[identity]*object), make(map[uint64]int)
	}
	o := &object{identity: name, owner: none}
	p.objects[name] = o
	p.scopes[name.regions]++
	if p.resize() {
		p.placeAll()
	} else {
		p.place(o)
	}
	return o
}

// sweep forgets objects that were not requested for long, once in a while.
func (p *Placement) sweep(now time.Time) {
	if now.Sub(p.swept) < objectTime/10 {
		return
	}
	p.swept = now
	removed := false
	for name, o := range p.objects {
		if now.Sub(o.seen) >= objectTime {
			delete(p.objects, name)
			p.scopes[name.regions]--
			removed = true
		}
	}
	if removed {
		p.resize()
		p.placeAll()
	}
}

// allowed returns the set of regions as bits, all of them set if there are no regions.
func (p *Placement) allowed(regions []id.Region) uint64 {
	if len(regions) == 0 {
		return math.MaxUint64
	}
	out := uint64(0)
	for _, r := range regions {
		out |= p.mask(r)
	}
	return out
}

func (p *Placement) mask(region id.Region) uint64 {
	i := slices.Index(p.regions, region)
	if i < 0 {
		i = len(p.regions)
		p.regions = append(p.regions, region)
	}
	return 1 << (i % maxRegions)
}

// resize computes the bounds of the servers and reports whether any has changed. Objects that
// may be owned in some regions only count for the servers there.
func (p *Placement) resize() bool {
	limits := make([]float64, len(p.servers))
	for regions, objects := range p.scopes {
		capacity := 0.0
		for i, s := range p.servers {
			if regions&p.masks[i] != 0 {
				capacity += s.Capacity
			}
		}
		for i, s := range p.servers {
			if regions&p.masks[i] != 0 {
				limits[i] += float64(objects) * s.Capacity / capacity
			}
		}
	}
	changed := len(p.limits) != len(limits)
	p.limits = slices.Grow(p.limits[:0], len(limits))[:len(limits)]
	for i := range limits {
		limit := Bound(limits[i])
		changed = changed || p.limits[i] != limit
		p.limits[i] = limit
	}
	return changed
}

// placeAll places all objects anew.
func (p *Placement) placeAll() {
	p.held = make([][]*object, len(p.servers))
	for _, o := range p.objects {
		o.next, o.owner = 0, none
	}
	for _, o := range p.objects {
		if o.owner == none {
			p.place(o)
		}
	}
}

// place lets an object propose itself until a server accepts it, and then the one that it has
// displaced. The result doesn't depend on the order in which objects are placed, unless the
// servers of an object's regions have too little room.
func (p *Placement) place(o *object) {
	for o != nil {
		if o.best == nil {
			p.prefer(o, preferred)
		}
		displaced := p.proposeAll(o)
		if o.owner == none && len(o.best) == preferred {
			p.prefer(o, len(p.servers))
			displaced = p.proposeAll(o)
		}
		if o.owner == none && len(o.best) > 0 {
			o.owner = p.emptiest(o)
			p.held[o.owner] = append(p.held[o.owner], o)
		}
		o = displaced
	}
}

// proposeAll offers an object to the servers that it prefers until one accepts it.
func (p *Placement) proposeAll(o *object) (displaced *object) {
	for o.owner == none && o.next < len(o.best) {
		displaced = p.propose(o, o.best[o.next])
		o.next++
	}
	return displaced
}

// propose offers an object to a server, which may drop another one for it.
func (p *Placement) propose(o *object, c choice) (displaced *object) {
	held := p.held[c.server]
	if len(held) < p.limits[c.server] {
		p.held[c.server], o.owner = append(held, o), c.server
		return nil
	}
	seed, least := p.servers[c.server].Seed, 0
	for i := range held {
		if owner.Score(held[i].key, seed) < owner.Score(held[least].key, seed) {
			least = i
		}
	}
	if owner.Score(held[least].key, seed) >= c.score {
		return nil
	}
	displaced = held[least]
	held[least], o.owner, displaced.owner = o, c.server, none
	return displaced
}

// emptiest returns the server that holds the least part of its bound among those that an
// object prefers.
func (p *Placement) emptiest(o *object) int {
	share := func(server int) float64 { return float64(len(p.held[server])) / float64(p.limits[server]) }
	least := o.best[0].server
	for _, c := range o.best {
		if share(c.server) < share(least) {
			least = c.server
		}
	}
	return least
}

// prefer computes the servers that an object prefers, at most n.
func (p *Placement) prefer(o *object, n int) {
	o.best = make([]choice, 0, n+1)
	for i := range p.servers {
		if o.regions&p.masks[i] == 0 {
			continue
		}
		c := choice{i, owner.Score(o.key, p.servers[i].Seed)}
		if len(o.best) == n && o.best[n-1].score >= c.score {
			continue
		}
		at, _ := slices.BinarySearchFunc(o.best, c, func(a, b choice) int {
			if a.score > b.score {
				return -1
			}
			return 1
		})
		o.best = slices.Insert(o.best, at, c)
		o.best = o.best[:min(len(o.best), n)]
	}
}
