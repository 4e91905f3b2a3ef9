// Package roster holds an entry's local state of the backend servers: which ones
// exist, which are eligible for requests, which are cold, how busy each one is, and
// the results of this entry's requests to it.
//
// The set of servers comes from registrations in the platform's store. Changes apply
// at once, with one exception: registrations may lapse while the store is
// unavailable, and be renewed shortly after it recovers. A server that is removed or
// missing within [Roster.Grace] of the store's recovery is kept until the grace
// period has passed, unless it is leaving.
//
// The store may be restored from an older copy. Registrations in the copy that a
// server has replaced or removed since are ignored until the server reports again.
//
// Changes to a [Roster] take a lock and publish an immutable [View]. Requests are
// served from the current View without a lock.
//
// # Usage
//
//	r := &roster.Roster{Grace: 2500 * time.Millisecond, Log: log}
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
	"github.com/shallotpier/shallotpier/internal/serverlimit"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// Server is the registration of a backend server.
	Server struct {
		// Name is the server's name, which usually changes with each start.
		Name id.Server `json:"name"`
		// Service is the service that it belongs to.
		Service id.Service `json:"service"`
		// Address is its IP address and port.
		Address string `json:"address"`
		// Zone is the availability zone that the server is located in.
		Zone id.Zone `json:"zone"`
		// Region is the region of the zone.
		Region id.Region `json:"region"`
		// Slots is the maximum number of requests that it runs concurrently.
		Slots int `json:"slots"`
		// StartedAt distinguishes the starts of a server: the Unix time of the start in
		// milliseconds, 0 if unknown.
		StartedAt int64 `json:"born"`
		// Sequence orders the registrations of a start; 0 if unknown.
		Sequence uint64 `json:"sequence"`
		// Leaving is set during graceful shutdown; the server gets no new requests.
		Leaving bool `json:"leaving"`
		// Cold is the remaining time of its slow start, as of its registration.
		Cold time.Duration `json:"cold"`
	}

	// ServiceConfig is the configuration of a service's servers.
	ServiceConfig struct {
		// ColdTime is the duration of the slow start of a server.
		ColdTime time.Duration `json:"coldTime"`
		// ColdRate is the number of requests per second that a cold server handles
		// from all entries together.
		ColdRate float64 `json:"coldRate"`
		// HealthPath is the path of the servers' health check, empty if they have none.
		HealthPath string `json:"healthPath,omitempty"`
	}

	// ColdBound is the permitted excess of all entries' requests over a cold server's
	// rate.
	ColdBound struct {
		// Overshoot is a factor applied to the rate.
		Overshoot float64
		// Allowance is a number of requests per second on top.
		Allowance float64
	}

	// View is an immutable snapshot of the roster.
	View struct {
		services map[id.Service][]*Member
		// regions counts the servers of each service by region.
		regions map[id.Service]map[id.Region]int
	}

	// Roster holds the backend servers. Its exported fields must be set before its
	// first use. It is safe for concurrent use.
	Roster struct {
		// Grace is the grace period for missing servers after the store's recovery.
		Grace time.Duration
		// Log receives a message for each change of the servers, the evacuated zones
		// and the reachability of zones.
		Log *slog.Logger

		view atomic.Pointer[View]

		mu             sync.Mutex
		members        map[id.Server]*Member
		ended          map[id.Server]*ended
		zones          map[id.Zone]*reachability
		baselines      map[id.Service]*baseline
		limits         *serverlimit.Table
		services       map[id.Service]ServiceConfig
		evacuated      map[id.Zone]bool
		listedZones    map[id.Zone]bool // evacuated zones according to the store
		held           held
		storeRecovered time.Time
		restores       int  // number of restores of the store
		reportRestore  bool // set until the first list after a restore
		self           netip.AddrPort
		others         []netip.AddrPort
		sharing        sharing
		published      *sharing // copy used by the current view
	}

	// sharing determines how the entries divide the rates of cold and of limited servers.
	// The seeds identify the entries in rendezvous hashing.
	sharing struct {
		known  bool // set once the other entries are known
		self   uint64
		others []uint64
		bound  ColdBound
	}
)

// View returns the current snapshot.
func (r *Roster) View() *View {
	if v := r.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Members returns the servers of a service that are eligible for requests, by name.
// The caller must not change the slice.
func (v *View) Members(svc id.Service) []*Member { return v.services[svc] }

// Services returns the services that have eligible servers, by name.
func (v *View) Services() []id.Service { return slices.Sorted(maps.Keys(v.services)) }

// Servers returns the registrations of all known servers, including those that are
// leaving, by name.
func (r *Roster) Servers(now time.Time) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Server, 0, len(r.members))
	for _, m := range r.members {
		s := m.Server
		s.Cold = m.ColdLeft(now)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

// All returns all known servers, including those that are not eligible for requests,
// by service and name.
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

// Evacuated returns the zones whose servers get no requests, by name.
func (r *Roster) Evacuated() []id.Zone {
	r.mu.Lock()
	defer r.mu.Unlock()
	return zoneNames(r.evacuated)
}

// Regions returns the number of servers of a service in each region that has any. The
// caller must not change the map.
func (v *View) Regions(svc id.Service) map[id.Region]int { return v.regions[svc] }

// Put adds a server or applies a change of its registration.
func (r *Roster) Put(now time.Time, s Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.members[s.Name]
	if r.put(now, s, fromStore) {
		r.publishOne(before, s.Name)
	}
}

// Remove applies the removal of a server's registration.
func (r *Roster) Remove(now time.Time, name id.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.members[name]
	if r.remove(now, name, false) {
		r.publishOne(before, name)
	}
}

// Replace applies a complete list of the registrations.
func (r *Roster) Replace(now time.Time, list []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replace(now, list, fromStore)
}

// Bootstrap applies the servers that another entry knows. It may keep servers that the
// store doesn't list, and may not know of their leaving.
func (r *Roster) Bootstrap(now time.Time, list []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replace(now, list, fromPeer)
}

func (r *Roster) replace(now time.Time, list []Server, from source) {
	listed := make(map[id.Server]bool, len(list))
	for _, s := range list {
		listed[s.Name] = true
		r.put(now, s, from)
	}
	for name, m := range maps.Clone(r.members) {
		if !listed[name] {
			r.remove(now, name, m.restores < r.restores)
		}
	}
	for name := range r.ended {
		if !listed[name] {
			r.unlist(now, name)
		}
	}
	r.logRestore(len(list))
	r.publish()
}

// StoreRecovered records that the store is available again after an outage.
func (r *Roster) StoreRecovered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeRecovered = now
}

// Step removes the servers whose grace period has passed and runs outlier detection
// within each service. It is called several times a second.
func (r *Roster) Step(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for name, m := range r.members {
		if !m.graceEnd.IsZero() && !now.Before(m.graceEnd) {
			r.drop(now, name, "registration lapsed")
			changed = true
		}
	}
	r.forgetEnded(now)
	r.releaseZones(now)
	if changed {
		r.publish()
	}
	r.detectOutliers(now)
}

// detectOutliers compares each server with the mean of its service.
func (r *Roster) detectOutliers(now time.Time) {
	for _, list := range r.View().services {
		var mean outlier.Stats
		for _, m := range list {
			stats := m.state.stats(now)
			mean.Failures += stats.Failures / float64(len(list))
			mean.Excess += stats.Excess / float64(len(list))
		}
		for _, m := range list {
			m.state.setOutlier(now, mean)
		}
	}
}

// SetEvacuated sets the zones whose servers get no requests. The servers of a zone
// whose evacuation ends are treated as cold.
func (r *Roster) SetEvacuated(now time.Time, zones map[id.Zone]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedZones = maps.Clone(zones)
	for zone := range zones {
		delete(r.held.zones, zone)
	}
	r.setEvacuated(now)
}

// setEvacuated applies the zones that the store has and those that are held.
func (r *Roster) setEvacuated(now time.Time) {
	zones := maps.Clone(r.listedZones)
	if len(r.held.zones) > 0 {
		zones = maps.Clone(r.held.zones)
		maps.Copy(zones, r.listedZones)
	}
	if maps.Equal(zones, r.evacuated) {
		return
	}
	for _, m := range r.members {
		if r.evacuated[m.Zone] && !zones[m.Zone] {
			m.setCold(now, now.Add(r.services[m.Service].ColdTime), evacuationOver)
		}
	}
	r.Log.Info("evacuated zones changed", "before", zoneNames(r.evacuated), "now", zoneNames(zones))
	r.evacuated = zones
	r.publish()
}

// Configure sets the configuration of the services.
func (r *Roster) Configure(services map[id.Service]ServiceConfig) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = maps.Clone(services)
	r.publish()
}

// SetColdBound sets the permitted excess over a cold server's rate.
func (r *Roster) SetColdBound(b ColdBound) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sharing.bound = b
	r.publish()
}

// SetEntries sets the entries that share the rates of servers, each identified by an
// address. Before the first call, cold servers and those with a limit get no requests.
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

// rank returns the number of other entries that rank above this one for a server.
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

// put reports whether anything has changed.
func (r *Roster) put(now time.Time, s Server, from source) bool {
	if r.members == nil {
		r.members = make(map[id.Server]*Member)
	}
	if r.outdated(&s, from) {
		r.ignore(&s)
		return false
	}
	before := r.ended[s.Name]
	delete(r.ended, s.Name)
	old := r.members[s.Name]
	if old != nil && old.graceEnd.IsZero() && s.equalExceptSequence(&old.Server) {
		if from == fromStore || s.Sequence > 0 {
			old.Sequence = s.Sequence
		}
		old.restores, old.ignores = r.restores, false
		return false
	}
	m := newMember(s, r.zone(s.Zone), r.baseline(s.Service), r.limitTable())
	m.restores = r.restores
	m.takeOver(old, before)
	if s.Cold > 0 {
		if old != nil && m.state == old.state && s.Cold > coldTolerance {
			m.hold(now)
		}
		m.setCold(now, now.Add(s.Cold), registered)
	}
	r.members[s.Name] = m
	r.Log.Info("backend server known", "server", s.Name, "service", s.Service, "zone", s.Zone,
		"leaving", s.Leaving, "cold", s.Cold, "new", old == nil)
	return true
}

// zone returns the reachability of a zone.
func (r *Roster) zone(zone id.Zone) *reachability {
	if r.zones == nil {
		r.zones = make(map[id.Zone]*reachability)
	}
	if r.zones[zone] == nil {
		r.zones[zone] = &reachability{zone: zone, log: r.Log}
	}
	return r.zones[zone]
}

// baseline returns the baseline of a service.
func (r *Roster) baseline(svc id.Service) *baseline {
	if r.baselines == nil {
		r.baselines = make(map[id.Service]*baseline)
	}
	if r.baselines[svc] == nil {
		r.baselines[svc] = &baseline{}
	}
	return r.baselines[svc]
}

// Limits returns the limits that the servers have named.
func (r *Roster) Limits() *serverlimit.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limitTable()
}

func (r *Roster) limitTable() *serverlimit.Table {
	if r.limits == nil {
		r.limits = &serverlimit.Table{Log: r.Log}
	}
	return r.limits
}

// remove reports whether a server was removed. The registration is lost if it isn't
// known to be removed, but is missing since a restore of the store.
func (r *Roster) remove(now time.Time, name id.Server, lost bool) bool {
	m := r.members[name]
	if m == nil {
		r.unlist(now, name)
		return false
	}
	if !r.storeRecovered.IsZero() && now.Before(r.storeRecovered.Add(r.Grace)) && !m.Leaving {
		if m.graceEnd.IsZero() {
			kept := *m
			kept.graceEnd, kept.lost = r.storeRecovered.Add(r.Grace), lost
			r.members[name] = &kept
			r.Log.Info("backend server kept after a store outage", "server", name, "until", kept.graceEnd)
		}
		return false
	}
	m.lost = lost
	r.drop(now, name, "registration removed")
	return true
}

func (r *Roster) drop(now time.Time, name id.Server, cause string) {
	r.rememberEnd(now, r.members[name])
	delete(r.members, name)
	r.Log.Info("backend server gone", "server", name, "cause", cause)
}

// publish builds a new view. Members are sorted by name, so that equal rosters give
// equal views.
func (r *Roster) publish() {
	shared := r.sharing
	r.published = &shared
	v := &View{services: make(map[id.Service][]*Member), regions: make(map[id.Service]map[id.Region]int)}
	for _, m := range r.members {
		if r.eligible(m) {
			v.services[m.Service] = append(v.services[m.Service], r.configured(m, r.published))
		}
	}
	for svc, list := range v.services {
		slices.SortFunc(list, func(a, b *Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
		v.count(svc)
	}
	r.view.Store(v)
}

// publishOne builds a new view in which only one server differs, given its state
// before the change. Rebuilding the whole view is too expensive when thousands of
// servers register one by one at the start of a deployment.
func (r *Roster) publishOne(before *Member, name id.Server) {
	if r.published == nil {
		r.publish()
		return
	}
	old := r.View()
	v := &View{services: maps.Clone(old.services), regions: maps.Clone(old.regions)}
	if before != nil {
		v.drop(before.Service, name)
		v.count(before.Service)
	}
	if m := r.members[name]; m != nil && r.eligible(m) {
		v.insert(r.configured(m, r.published))
		v.count(m.Service)
	}
	r.view.Store(v)
}

// eligible reports whether a server's registration, its answers and its zone allow
// requests.
func (r *Roster) eligible(m *Member) bool {
	return !m.Leaving && !m.AnsweredLeaving() && !r.evacuated[m.Zone]
}

// count updates the number of a service's servers per region.
func (v *View) count(svc id.Service) {
	regions := make(map[id.Region]int)
	for _, m := range v.services[svc] {
		regions[m.Region]++
	}
	v.regions[svc] = regions
}

func (v *View) find(svc id.Service, name id.Server) (int, bool) {
	return findByName(v.services[svc], name)
}

func findByName(members []*Member, name id.Server) (int, bool) {
	return slices.BinarySearchFunc(members, name, func(m *Member, name id.Server) int {
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

// Member returns the eligible server of that name, nil if there is none.
func (v *View) Member(svc id.Service, name id.Server) *Member {
	if i, found := v.find(svc, name); found {
		return v.services[svc][i]
	}
	return nil
}

// configured returns a copy of the member with the configuration of its service.
func (r *Roster) configured(m *Member, shared *sharing) *Member {
	c := *m
	c.config, c.sharing = r.services[m.Service], shared
	return &c
}

func zoneNames(zones map[id.Zone]bool) []id.Zone { return slices.Sorted(maps.Keys(zones)) }
