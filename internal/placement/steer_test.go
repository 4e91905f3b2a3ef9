package placement_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/placement"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const home, near, far = id.Region("fyn"), id.Region("jylland"), id.Region("sjaelland")

var start = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

func regions() []placement.Region {
	return []placement.Region{
		{Name: far, Delay: 20 * time.Millisecond, Weight: 1},
		{Name: home, Weight: 1},
		{Name: near, Delay: 20 * time.Millisecond, Weight: 3},
	}
}

// loop simulates a closed control loop in virtual time: several entries split
// the requests of one region's callers by delayed load measurements.
type loop struct {
	lag      time.Duration
	entries  []*placement.Steer
	load     map[id.Region]float64   // actual load
	samples  []map[id.Region]float64 // measured loads, one sample per second
	outside  int                     // number of times the load left the target band
	inside   bool
	settled  int // last second outside the target band
	steps    int
	lastStep int
}

func newLoop(lag time.Duration) *loop {
	l := &loop{lag: lag}
	for range 3 {
		l.entries = append(l.entries, placement.NewSteer(regions()))
	}
	return l
}

// second simulates one second with the given load offered by the home region's
// callers.
func (l *loop) second(offered float64, r *rand.Rand) {
	load := map[id.Region]float64{home: 0, near: 0.3, far: 0.3}
	for _, e := range l.entries {
		for _, p := range e.Shares() {
			load[p.Region] += p.Share * offered / float64(len(l.entries))
		}
	}
	l.load = maps.Clone(load)
	for name := range load { // measurement error of up to 1%
		load[name] *= 1 + 0.02*(r.Float64()-0.5)
	}
	l.samples = append(l.samples, load)
	now := len(l.samples) - 1
	taken := now - int(l.lag/time.Second)
	if taken < 0 {
		return
	}
	values := map[id.Region]measured.Value[float64]{}
	for name, v := range l.samples[taken] {
		values[name] = measured.At(v, start.Add(time.Duration(taken)*time.Second))
	}
	for i, e := range l.entries {
		at := start.Add(time.Duration(now)*time.Second + time.Duration(i)*300*time.Millisecond)
		if e.Step(at, values) {
			l.steps++
			l.lastStep = now
		}
	}
}

// watch counts excursions from the target band after it has been reached,
// including those of the region that receives most of the overflow.
func (l *loop) watch(ok func(float64) bool) {
	now := len(l.samples) - 1
	in := ok(l.load[home]) && l.load[near] <= placement.HighLoad+0.01
	if !in {
		l.settled = now
		if l.inside {
			l.outside++
		}
	}
	l.inside = in
}

func TestSteerSettlesAfterLoadStep(t *testing.T) {
	tests := map[string]struct {
		from, to float64
		ok       func(float64) bool
	}{
		"up":      {0.5, 1.4, func(x float64) bool { return x <= placement.HighLoad+0.01 && x >= placement.LowLoad-0.01 }},
		"up far":  {0.5, 1.7, func(x float64) bool { return x <= placement.HighLoad+0.01 && x >= placement.LowLoad-0.01 }},
		"down":    {1.4, 0.5, func(x float64) bool { return x >= 0.49 }}, // all requests return to the home region
		"partial": {1.4, 1.0, func(x float64) bool { return x >= placement.LowLoad-0.01 && x <= placement.HighLoad+0.01 }},
	}
	for name, tt := range tests {
		for _, lag := range []time.Duration{time.Second, 5 * time.Second, 15 * time.Second} {
			t.Run(fmt.Sprintf("%s/%s", name, lag), func(t *testing.T) {
				r := rand.New(rand.NewPCG(1, uint64(lag)))
				l := newLoop(lag)
				for range 400 {
					l.second(tt.from, r)
				}
				l.outside, l.inside, l.steps, l.settled = 0, false, 0, 400
				for range 600 {
					l.second(tt.to, r)
					l.watch(tt.ok)
				}
				t.Logf("settled after %d s, %d steps over 3 entries, last after %d s, %d overshoots", l.settled-399, l.steps, l.lastStep-400, l.outside)
				if l.outside > 1 || !l.inside || l.lastStep > 400+400 {
					t.Errorf("%d overshoots, inside %v, last step after %d s", l.outside, l.inside, l.lastStep-400)
				}
			})
		}
	}
}

func TestSteerStepInputs(t *testing.T) {
	now := start.Add(time.Hour)
	full := measured.At(0.95, now)
	calm := measured.At(0.2, now)
	tests := map[string]struct {
		home, others measured.Value[float64]
		less         bool // home keeps less than all requests
	}{
		"full home, calm others": {full, calm, true},
		"all full":               {full, full, false},
		"home missing":           {measured.Value[float64]{}, calm, false},
		"home stale":             {measured.At(0.95, now.Add(-time.Minute)), calm, false},
		"home from the future":   {measured.At(0.95, now.Add(time.Minute)), calm, false},
		"home NaN":               {measured.At(math.NaN(), now), calm, false},
		"home infinite":          {measured.At(math.Inf(1), now), calm, false},
		"home negative":          {measured.At(-1.0, now), calm, false},
		"home out of range":      {measured.At(1e9, now), calm, false},
		"others missing":         {full, measured.Value[float64]{}, false},
		"others stale":           {full, measured.At(0.2, now.Add(-time.Minute)), false},
		"others from the future": {full, measured.At(0.2, now.Add(time.Minute)), false},
		"others NaN":             {full, measured.At(math.NaN(), now), false},
		"others negative":        {full, measured.At(-0.2, now), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := placement.NewSteer(regions())
			s.Step(now, map[id.Region]measured.Value[float64]{home: tt.home, near: tt.others, far: tt.others})
			shares := s.Shares()
			is.Equal(shares[0].Region, home)
			is.Equal(shares[0].Share < 1, tt.less)
			sum := 0.0
			for _, p := range shares {
				sum += p.Share
			}
			is.True(math.Abs(sum-1) < 1e-9)
			if tt.less { // the others are split by weight
				is.True(math.Abs(shares[1].Share/shares[2].Share-3) < 1e-9)
			}
		})
	}
}

func TestSteerUsesOverflowRegionLast(t *testing.T) {
	is := is.New(t)
	s := placement.NewSteer([]placement.Region{{Name: home}, {Name: far, Delay: time.Second, Weight: 1}})
	is.Equal(s.Shares()[0], placement.RegionShare{Region: far, Share: 1})
}

func BenchmarkSteerStep(b *testing.B) {
	s := placement.NewSteer(regions())
	loads := map[id.Region]measured.Value[float64]{home: measured.At(0.7, start), near: measured.At(0.2, start)}
	b.ReportAllocs()
	for b.Loop() {
		s.Step(start, loads)
	}
}
