// Package roster keeps what an entry knows of the backend servers: which there
// are, which may get requests, which are cold, how busy each is by this entry's
// requests, and what those requests met.
//
// The platform's store is the source of the first part. Its word is taken at
// once, with one exception: registrations of servers may lapse while the store
// is away, and come back shortly after it. A server that is missing within
// [Roster.Grace] of the store's return is kept until the grace has passed.
//
// A [Roster] is changed under a lock and publishes immutable [View]s, from which
// requests are served without one.
//
// # Usage
//
//	r := &roster.Roster{Grace: 2500 * time.Millisecond}
//	r.Put(now, server)
//	for _, m := range r.View().Members("registry") {
//		if m.Ready(now) && m.Begin(now) {
//			defer m.End(now, roster.Outcome{Event: health.Answered})
//		}
//	}
package roster

import (
	"cmp"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/internal/outlier"
	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// Server is a backend server as it registered itself.
	Server struct {
		// Name is its name, new with most starts.
		Name id.Server `json:"name"`
		// Service is the service that it belongs to.
		Service id.Service `json:"service"`
		// Address is its IP address and port.
		Address string `json:"address"`
		// Zone is the availability zone it stands in.
		Zone id.Zone `json:"zone"`
		// Region is the region of the zone.
		Region id.Region `json:"region"`
		// Slots is how many requests it runs at the same time.
		Slots int `json:"slots"`
		// Born tells its starts apart: the Unix time of the start in
		// milliseconds, 0 if it is not known.
		Born int64 `json:"born"`
		// Leaving marks a server that gets no new requests.
		Leaving bool `json:"leaving"`
		// Cold is how much longer it is slow, as of its registration.
		Cold time.Duration `json:"cold"`
	}

	// Service holds what a configuration says of a service's servers.
	Service struct {
		// ColdTime is how long a server stays cold after its start.
		ColdTime time.Duration `json:"coldTime"`
		// ColdRate is how many requests a second a cold server takes from all
		// entries together.
		ColdRate float64 `json:"coldRate"`
	}

	// ColdBound is how far the requests of all entries to a cold server may go
	// over its rate.
	ColdBound struct {
		// Overshoot is a factor on the rate.
		Overshoot float64
		// Allowance is how many more they may be in a second.
		Allowance float64
	}

	// View is an immutable state of the roster.
	View struct {
		services map[id.Service][]*Member
		// regions counts the servers of each service by region.
		regions map[id.Service]map[id.Region]int
	}

	// Roster holds the servers. Its exported fields are set before its first
	// use. It is safe for concurrent use.
	Roster struct {
		// Grace is how long after the store's return a missing server is kept.
		Grace time.Duration
		// Log gets a line for each change of what may be used.
		Log *slog.Logger

		view atomic.Pointer[View]

		mu        sync.Mutex
		members   map[id.Server]*Member
		reaches   map[id.Zone]*reach
		paces     map[id.Service]*pace
		services  map[id.Service]Service
		evacuated map[id.Zone]bool
		resumed   time.Time
		self      netip.AddrPort
		others    []netip.AddrPort
		sharing   sharing
		shared    *sharing // as published
	}

	// sharing says how entries share a cold server's rate. The seeds stand for
	// the entries in rankings.
	sharing struct {
		known  bool // the others are known
		self   uint64
		others []uint64
		bound  ColdBound
	}
)

// View returns the current state.
func (r *Roster) View() *View {
	if v := r.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Members returns the servers of a service that may get requests. The caller
// must not change the slice.
func (v *View) Members(svc id.Service) []*Member { return v.services[svc] }

// Servers returns the servers that are known, those that are leaving included, by
// name.
func (r *Roster) Servers(now time.Time) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Server, 0, len(r.members))
	for _, m := range r.members {
		s := m.Server
		s.Cold = m.coldLeft(now)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

// All returns all servers that are known, by service and name.
func (r *Roster) All() []*Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	shared := r.sharing
	out := make([]*Member, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, r.configured(m, &shared))
	}
	slices.SortFunc(out, func(a, b *Member) int {
		return cmp.Or(strings.Compare(string(a.Service), string(b.Service)), strings.Compare(string(a.Name), string(b.Name)))
	})
	return out
}

// Evacuated returns the zones whose servers get nothing, by name.
func (r *Roster) Evacuated() []id.Zone {
	r.mu.Lock()
	defer r.mu.Unlock()
	return zoneNames(r.evacuated)
}

// Regions returns the number of servers of a service in each region that has any.
// The caller must not change the map.
func (v *View) Regions(svc id.Service) map[id.Region]int { return v.regions[svc] }

// Put adds a server or takes in that it changed.
func (r *Roster) Put(now time.Time, s Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.members[s.Name]
	if r.put(now, s) {
		r.publishOne(before, s.Name)
	}
}

// Remove takes in that a server's registration is gone.
func (r *Roster) Remove(now time.Time, name id.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.members[name]
	if r.remove(now, name) {
		r.publishOne(before, name)
	}
}

// Replace takes in a whole list of the registrations.
func (r *Roster) Replace(now time.Time, list []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[id.Server]bool, len(list))
	for _, s := range list {
		listed[s.Name] = true
		r.put(now, s)
	}
	for name := range maps.Clone(r.members) {
		if !listed[name] {
			r.remove(now, name)
		}
	}
	r.publish()
}

// Resumed notes that the store answers again after it was away.
func (r *Roster) Resumed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumed = now
}

// Step ends the graces that have passed and compares the servers of each service.
// It is called some times a second.
func (r *Roster) Step(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for name, m := range r.members {
		if !m.lapses.IsZero() && !now.Before(m.lapses) {
			r.drop(name, "registration lapsed")
			changed = true
		}
	}
	if changed {
		r.publish()
	}
	r.judge(now)
}

// judge compares the servers of each service.
func (r *Roster) judge(now time.Time) {
	for _, list := range r.View().services {
		var mean outlier.Seen
		for _, m := range list {
			seen := m.state.seen(now)
			mean.Failures += seen.Failures / float64(len(list))
			mean.Surplus += seen.Surplus / float64(len(list))
		}
		for _, m := range list {
			m.state.judge(now, mean)
		}
	}
}

// Evacuate sets the zones whose servers get nothing. Servers of a zone that is
// taken back may be cold.
func (r *Roster) Evacuate(now time.Time, zones map[id.Zone]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(zones, r.evacuated) {
		return
	}
	for _, m := range r.members {
		if r.evacuated[m.Zone] && !zones[m.Zone] {
			m.state.chill(now.Add(r.services[m.Service].ColdTime))
		}
	}
	r.Log.Info("evacuated zones changed", "before", zoneNames(r.evacuated), "now", zoneNames(zones))
	r.evacuated = maps.Clone(zones)
	r.publish()
}

// Configure sets what a configuration says of the services.
func (r *Roster) Configure(services map[id.Service]Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = maps.Clone(services)
	r.publish()
}

// SetColdBound sets how far requests may go over a cold server's rate.
func (r *Roster) SetColdBound(b ColdBound) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sharing.bound = b
	r.publish()
}

// SetEntries sets the entries that share a cold server's rate, by an address of
// each. Before the first call, cold servers get nothing.
func (r *Roster) SetEntries(self netip.AddrPort, others []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if self == r.self && slices.Equal(others, r.others) {
		return
	}
	r.self, r.others = self, slices.Clone(others)
	r.sharing.known, r.sharing.self, r.sharing.others = true, entrySeed(self), nil
	for _, other := range others {
		r.sharing.others = append(r.sharing.others, entrySeed(other))
	}
	r.publish()
}

// rank returns how many other entries come before this one for a server.
func (s *sharing) rank(server uint64) int {
	own, rank := owner.Score(s.self, server), 0
	for _, seed := range s.others {
		if owner.Score(seed, server) > own {
			rank++
		}
	}
	return rank
}

func entrySeed(entry netip.AddrPort) uint64 { return owner.Seed(id.Server(entry.String())) }

// put returns whether anything has changed.
func (r *Roster) put(now time.Time, s Server) bool {
	if r.members == nil {
		r.members = make(map[id.Server]*Member)
	}
	old := r.members[s.Name]
	if old != nil && old.Server == s && old.lapses.IsZero() {
		return false
	}
	m := newMember(s, r.reach(s.Zone), r.pace(s.Service))
	if old != nil && old.Born == s.Born && old.Service == s.Service && old.Address == s.Address {
		m.state = old.state
	}
	if s.Cold > 0 {
		m.state.chill(now.Add(s.Cold))
	}
	r.members[s.Name] = m
	r.Log.Info("backend server known", "server", s.Name, "service", s.Service, "zone", s.Zone,
		"leaving", s.Leaving, "cold", s.Cold, "new", old == nil)
	return true
}

// reach returns what is known of the path to a zone.
func (r *Roster) reach(zone id.Zone) *reach {
	if r.reaches == nil {
		r.reaches = make(map[id.Zone]*reach)
	}
	if r.reaches[zone] == nil {
		r.reaches[zone] = &reach{zone: zone, log: r.Log}
	}
	return r.reaches[zone]
}

// pace returns what is known of a service's servers as a whole.
func (r *Roster) pace(svc id.Service) *pace {
	if r.paces == nil {
		r.paces = make(map[id.Service]*pace)
	}
	if r.paces[svc] == nil {
		r.paces[svc] = &pace{}
	}
	return r.paces[svc]
}

// remove returns whether a server is gone.
func (r *Roster) remove(now time.Time, name id.Server) bool {
	m := r.members[name]
	if m == nil {
		return false
	}
	if !r.resumed.IsZero() && now.Before(r.resumed.Add(r.Grace)) && !m.Leaving {
		if m.lapses.IsZero() {
			kept := *m
			kept.lapses = r.resumed.Add(r.Grace)
			r.members[name] = &kept
			r.Log.Info("backend server kept after a store outage", "server", name, "until", kept.lapses)
		}
		return false
	}
	r.drop(name, "registration removed")
	return true
}

func (r *Roster) drop(name id.Server, cause string) {
	delete(r.members, name)
	r.Log.Info("backend server gone", "server", name, "cause", cause)
}

// publish makes a new view. Members are ordered by name, so that equal rosters
// give equal views.
func (r *Roster) publish() {
	shared := r.sharing
	r.shared = &shared
	v := &View{services: make(map[id.Service][]*Member), regions: make(map[id.Service]map[id.Region]int)}
	for _, m := range r.members {
		if r.visible(m) {
			v.services[m.Service] = append(v.services[m.Service], r.configured(m, r.shared))
		}
	}
	for svc, list := range v.services {
		slices.SortFunc(list, func(a, b *Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
		v.count(svc)
	}
	r.view.Store(v)
}

// publishOne makes a new view in which one server differs, given as it was before;
// thousands may come one by one as a deployment starts.
func (r *Roster) publishOne(before *Member, name id.Server) {
	if r.shared == nil {
		r.publish()
		return
	}
	old := r.View()
	v := &View{services: maps.Clone(old.services), regions: maps.Clone(old.regions)}
	if before != nil {
		v.drop(before.Service, name)
		v.count(before.Service)
	}
	if m := r.members[name]; m != nil && r.visible(m) {
		v.insert(r.configured(m, r.shared))
		v.count(m.Service)
	}
	r.view.Store(v)
}

// visible tells whether a server may get requests.
func (r *Roster) visible(m *Member) bool { return !m.Leaving && !r.evacuated[m.Zone] }

// count counts a service's servers by region.
func (v *View) count(svc id.Service) {
	regions := make(map[id.Region]int)
	for _, m := range v.services[svc] {
		regions[m.Region]++
	}
	v.regions[svc] = regions
}

func (v *View) find(svc id.Service, name id.Server) (int, bool) {
	return slices.BinarySearchFunc(v.services[svc], name, func(m *Member, name id.Server) int {
		return strings.Compare(string(m.Name), string(name))
	})
}

func (v *View) drop(svc id.Service, name id.Server) {
	i, found := v.find(svc, name)
	switch {
	case !found:
	case len(v.services[svc]) == 1:
		delete(v.services, svc)
	default:
		v.services[svc] = slices.Delete(slices.Clone(v.services[svc]), i, i+1)
	}
}

func (v *View) insert(m *Member) {
	i, _ := v.find(m.Service, m.Name)
	v.services[m.Service] = slices.Insert(slices.Clone(v.services[m.Service]), i, m)
}

// Member returns a server that may get requests, nil if there is none of the name.
func (v *View) Member(svc id.Service, name id.Server) *Member {
	if i, found := v.find(svc, name); found {
		return v.services[svc][i]
	}
	return nil
}

// configured returns a server with what the configuration says of its service.
func (r *Roster) configured(m *Member, shared *sharing) *Member {
	c := *m
	c.cold, c.sharing = r.services[m.Service], shared
	return &c
}

func zoneNames(zones map[id.Zone]bool) []id.Zone { return slices.Sorted(maps.Keys(zones)) }
