package steering

import (
	"slices"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/placement"
	"github.com/shallotpier/shallotpier/internal/ramp"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// warmPart is the part of a new latency in the mean, as a divisor.
const warmPart = 64

// server is what is known of one backend server.
type server struct {
	mu      sync.Mutex
	opinion health.Opinion
	ramp    ramp.Ramp
	out     bool
}

// newState returns the state of a service, with what old knows of its servers.
func (s *Steering) newState(f *service.File, old *state) *state {
	st := &state{file: f, regions: map[id.Server]id.Region{}, servers: map[id.Server]*server{}}
	regions := placement.Regions(s.World, f, s.Zone)
	if old != nil && slices.Equal(regions, placement.Regions(s.World, old.file, s.Zone)) {
		st.steer = old.steer
		st.warm.Store(old.warm.Load())
		st.seen.Store(old.seen.Load())
	} else {
		st.steer = placement.NewSteer(regions)
	}
	for i := range f.Servers {
		b := &f.Servers[i]
		st.regions[b.Name], _ = s.World.Region(b.Zone)
		st.servers[b.Name] = new(server)
		if old == nil {
			continue
		}
		if known := old.servers[b.Name]; known != nil && old.file.Server(b.Name).Address == b.Address {
			st.servers[b.Name] = known
		}
	}
	return st
}

// rebuild makes the placement table.
func (st *state) rebuild(s *Steering, now time.Time) {
	var members []placement.Member
	for i := range st.file.Servers {
		b := &st.file.Servers[i]
		verdict, level := st.servers[b.Name].verdict(now)
		if b.Leaving || verdict == health.No {
			continue
		}
		members = append(members, placement.Member{Server: b, Region: st.regions[b.Name], Delay: s.World.Delay(s.Zone, b.Zone), Ramp: level})
	}
	st.table.Store(placement.NewTable(st.steer.Parts(), members))
}

// answered takes the latency of a read into the mean.
func (st *state) answered(now time.Time, latency time.Duration) {
	old := st.warm.Load()
	if old == 0 {
		st.warm.Store(int64(latency))
	} else {
		st.warm.Store(old + (int64(latency)-old)/warmPart)
	}
	st.seen.Store(now.UnixNano())
}

func (st *state) warmLatency() measured.Value[time.Duration] {
	if at := st.seen.Load(); at != 0 {
		return measured.At(time.Duration(st.warm.Load()), time.Unix(0, at))
	}
	return measured.Value[time.Duration]{}
}

// verdict returns the opinion and the level of the slow start.
func (b *server) verdict(now time.Time) (health.Verdict, float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v, _ := b.opinion.MaySend(now, measured.Value[bool]{}, measured.Value[health.Report]{})
	return v, b.ramp.Level()
}

// begin tells whether a request may be sent now.
func (b *server) begin(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	v, _ := b.opinion.MaySend(now, measured.Value[bool]{}, measured.Value[health.Report]{})
	if v == health.Trial {
		b.opinion.BeginTrial(now)
	}
	return v != health.No
}

// end takes in what a send met.
func (b *server) end(now time.Time, o admission.Outcome, read bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	event := health.EventOf(o.Code)
	b.opinion.Observe(now, event)
	switch event {
	case health.Answered:
		if b.out {
			b.out = false
			b.ramp.Start(now)
		}
		if read {
			b.ramp.Answered(o.Latency)
		}
	case health.ConnectFailed, health.Cut:
		b.out = true
		b.ramp.Refused()
	case health.Shed:
		b.ramp.Refused()
	}
}

func (b *server) step(now time.Time, warm measured.Value[time.Duration]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ramp.Step(now, warm, measured.Value[float64]{})
}
