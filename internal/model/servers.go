package model

import (
	"fmt"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// serviceTimeSpread is the standard deviation of the service time of a class, as a
// fraction of its mean. It is also the lower bound of a service time.
const serviceTimeSpread = 0.15

type (
	// Servers are the simulated backend servers.
	Servers struct {
		model       *Model
		all         []*server
		byName      map[id.Server]*server
		rejectRatio float64
	}

	server struct {
		servers  *Servers
		name     id.Server
		region   int
		slowdown float64
		limit    unit.Rate // named in responses, 0 for none
		running  int
		waiting  []*job
		warm     []string // most recently served first
		machine  machine
		reported roster.Load // the load that it reports, as of reportAt
		reportAt time.Time
		report   func(roster.Load) roster.Load // changes what it reports, nil for nothing
	}

	job struct {
		request *request
		done    func(rejected bool)
		arrived time.Time
		// sooner is the least time in which a server with a free slot would have done
		// the job when it was queued; 0 if there was none.
		sooner  time.Duration
		started bool
		ended   bool // completed or cancelled
	}
)

func newServers(m *Model) Servers {
	s := Servers{model: m, byName: make(map[id.Server]*server)}
	for r, n := range m.Service.Regions {
		for range n {
			sv := &server{servers: &m.servers, name: id.Server(fmt.Sprintf("s-%d", len(s.all))), region: r, slowdown: 1, machine: newMachine(m, len(s.all))}
			s.all = append(s.all, sv)
			s.byName[sv.name] = sv
		}
	}
	return s
}

// SetRejectRatio sets the fraction of requests that all servers reject, 0 to 1.
func (s *Servers) SetRejectRatio(ratio float64) { s.rejectRatio = ratio }

// Slow multiplies the service times of the first n servers by factor.
func (s *Servers) Slow(n int, factor float64) {
	for _, sv := range s.all[:n] {
		sv.slowdown = factor
	}
}

// SlowOnly multiplies the service times of n servers from the given one on by factor, and
// those of no others.
func (s *Servers) SlowOnly(from, n int, factor float64) {
	for _, sv := range s.all {
		sv.slowdown = 1
	}
	for i := range n {
		s.all[(from+i)%len(s.all)].slowdown = factor
	}
}

// Forget makes n servers from the given one on cold for all objects.
func (s *Servers) Forget(from, n int) {
	for i := range n {
		s.all[(from+i)%len(s.all)].warm = nil
	}
}

// Report changes what the first n servers report.
func (s *Servers) Report(n int, change func(roster.Load) roster.Load) {
	for _, sv := range s.all[:n] {
		sv.report = change
	}
}

// Limit makes the first n servers name a limit in their responses, 0 for none.
func (s *Servers) Limit(n int, rate unit.Rate) {
	for _, sv := range s.all[:n] {
		sv.limit = rate
		s.model.report.limits.Name(sv.name, s.model.now, rate)
	}
}

// ClearWarm makes all servers cold for all objects.
func (s *Servers) ClearWarm() {
	for _, sv := range s.all {
		sv.warm = nil
	}
}

// Remove removes the first n servers from the rosters of all entries. Requests
// already sent to them are still processed.
func (s *Servers) Remove(n int) {
	for _, e := range s.model.entries {
		for _, sv := range s.all[:n] {
			e.roster.Remove(s.model.now, sv.name)
		}
	}
}

func (s *Servers) registrations() []roster.Server {
	var out []roster.Server
	for _, sv := range s.all {
		out = append(out, roster.Server{
			Name: sv.name, Service: serviceName, Address: string(sv.name), Region: region(sv.region), Slots: s.model.Service.Slots,
		})
	}
	return out
}

// load returns the load that the server reports, which is up to Service.ReportAge old.
func (s *server) load() roster.Load {
	m := s.servers.model
	if s.reportAt.IsZero() || m.now.Sub(s.reportAt) >= m.Service.ReportAge {
		s.reported, s.reportAt = roster.Load{Running: s.running, Waiting: len(s.waiting)}, m.now
		if m.Service.Pace.Period > 0 {
			s.reported.Pace = s.machine.at(m.now) * s.slowdown
		}
	}
	if s.report != nil {
		return s.report(s.reported)
	}
	return s.reported
}

// accept starts, queues or rejects a request. It returns a function that cancels
// the request.
func (s *server) accept(r *request, done func(rejected bool)) (cancel func()) {
	svc := &s.servers.model.Service
	j := &job{request: r, done: done, arrived: s.servers.model.now}
	s.servers.model.spread.arrive(s)
	switch {
	case s.servers.rejectRatio > 0 && s.servers.model.rng.Float64() < s.servers.rejectRatio:
		done(true)
	case s.running < svc.Slots:
		s.start(j)
	case len(s.waiting) < svc.Queue:
		s.waiting = append(s.waiting, j)
		j.sooner = s.servers.soonest(r)
		s.servers.model.spread.note(s)
	default:
		done(true)
	}
	return func() { s.cancel(j) }
}

func (s *server) start(j *job) {
	m := s.servers.model
	s.running++
	j.started = true
	m.spread.note(s)
	work := s.work(j.request) * max(1+serviceTimeSpread*m.rng.NormFloat64(), serviceTimeSpread)
	m.after(s.machine.duration(m.now, time.Duration(work)), func() {
		if j.ended {
			return
		}
		j.ended = true
		m.spread.complete(j, m.now)
		s.markWarm(j.request.object)
		s.startQueued()
		j.done(false)
	})
}

// work returns the mean service time of a request at the usual pace.
func (s *server) work(r *request) float64 {
	work := float64(r.class.ServiceTime) * s.slowdown
	if s.isWarm(r.object) {
		work *= 1 - s.servers.model.Service.WarmSaving
	}
	return work
}

// soonest returns the least expected time in which a server with a free slot would do a
// request, 0 if there is none.
func (s *Servers) soonest(r *request) time.Duration {
	least := time.Duration(0)
	for _, sv := range s.all {
		if sv.running >= s.model.Service.Slots {
			continue
		}
		if took := time.Duration(sv.work(r) * sv.machine.at(s.model.now)); least == 0 || took < least {
			least = took
		}
	}
	return least
}

// cancel cancels a request whose entry has timed out. A queued request stays in
// the queue and is skipped by startQueued.
func (s *server) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	if j.started {
		s.startQueued()
	}
}

// startQueued frees the slot of a finished request and starts queued requests.
// Those past their deadline are rejected.
func (s *server) startQueued() {
	m := s.servers.model
	s.running--
	m.spread.note(s)
	defer m.spread.note(s)
	for len(s.waiting) > 0 && s.running < m.Service.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		switch {
		case next.ended:
		case m.now.After(next.request.deadline()):
			next.ended = true
			next.done(true)
		default:
			s.start(next)
		}
	}
}

// isWarm reports whether the server has served an object recently.
func (s *server) isWarm(object string) bool { return slices.Contains(s.warm, object) }

// markWarm records that the server has served an object and evicts the least
// recently served one if there are too many.
func (s *server) markWarm(object string) {
	if i := slices.Index(s.warm, object); i >= 0 {
		s.warm = slices.Delete(s.warm, i, i+1)
	}
	s.warm = slices.Insert(s.warm, 0, object)
	if limit := s.servers.model.Service.WarmObjects; len(s.warm) > limit {
		s.warm = s.warm[:limit]
	}
}
