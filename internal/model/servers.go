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
	}

	job struct {
		request *request
		done    func(rejected bool)
		started bool
		ended   bool // completed or cancelled
	}
)

func newServers(m *Model) Servers {
	s := Servers{model: m, byName: make(map[id.Server]*server)}
	for r, n := range m.Service.Regions {
		for range n {
			sv := &server{servers: &m.servers, name: id.Server(fmt.Sprintf("s-%d", len(s.all))), region: r, slowdown: 1}
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

func (s *server) load() roster.Load { return roster.Load{Running: s.running, Waiting: len(s.waiting)} }

// accept starts, queues or rejects a request. It returns a function that cancels
// the request.
func (s *server) accept(r *request, done func(rejected bool)) (cancel func()) {
	svc := &s.servers.model.Service
	j := &job{request: r, done: done}
	switch {
	case s.servers.rejectRatio > 0 && s.servers.model.rng.Float64() < s.servers.rejectRatio:
		done(true)
	case s.running < svc.Slots:
		s.start(j)
	case len(s.waiting) < svc.Queue:
		s.waiting = append(s.waiting, j)
	default:
		done(true)
	}
	return func() { s.cancel(j) }
}

func (s *server) start(j *job) {
	m := s.servers.model
	s.running++
	j.started = true
	serviceTime := float64(j.request.class.ServiceTime) * s.slowdown * max(1+serviceTimeSpread*m.rng.NormFloat64(), serviceTimeSpread)
	if s.isWarm(j.request.object) {
		serviceTime *= 1 - m.Service.WarmSaving
	}
	m.after(time.Duration(serviceTime), func() {
		if j.ended {
			return
		}
		j.ended = true
		s.markWarm(j.request.object)
		s.startQueued()
		j.done(false)
	})
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
