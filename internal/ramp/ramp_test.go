package ramp_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/ramp"
)

const baseline = 200 * time.Millisecond

var start = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

func TestStepFactorByInputs(t *testing.T) {
	const large, small, minimal, hold, down = 1.5, 1.2, 1.1, 1.0, 0.7
	at := start.Add(2 * time.Second)
	fresh := measured.At(baseline, at)
	report := func(w float64, d time.Duration) measured.Value[float64] { return measured.At(w, at.Add(d)) }
	warm := func(l, d time.Duration) measured.Value[time.Duration] { return measured.At(l, at.Add(d)) }
	var noReport measured.Value[float64]
	tests := map[string]struct {
		latency  time.Duration
		refused  bool
		warm     measured.Value[time.Duration]
		reported measured.Value[float64]
		want     float64 // factor by which the initial level changes
	}{
		"fast, reported warm":          {baseline, false, fresh, report(1, 0), large},
		"fast, no report":              {baseline, false, fresh, noReport, small},
		"fast, stale report":           {baseline, false, fresh, report(1, -time.Minute), small},
		"fast, report from the future": {baseline, false, fresh, report(1, time.Minute), small},
		"fast, NaN report":             {baseline, false, fresh, report(math.NaN(), 0), small},
		"fast, negative report":        {baseline, false, fresh, report(-1, 0), small},
		"fast, report above 1":         {baseline, false, fresh, report(100, 0), small},
		"somewhat slow":                {2 * baseline, false, fresh, report(1, 0), hold},
		"slow, reported warm":          {5 * baseline, false, fresh, report(1, 0), down},
		"fast but refused":             {baseline, true, fresh, report(1, 0), down},
		"warm latency missing":         {baseline, false, measured.Value[time.Duration]{}, report(1, 0), minimal},
		"warm latency stale":           {baseline, false, warm(baseline, -2*time.Minute), report(1, 0), minimal},
		"warm latency in future":       {baseline, false, warm(baseline, time.Minute), report(1, 0), minimal},
		"warm latency negative":        {baseline, false, warm(-baseline, 0), report(1, 0), minimal},
		"warm latency out of range":    {baseline, false, warm(math.MaxInt64, 0), report(1, 0), minimal},
		"refused, no inputs":           {baseline, true, measured.Value[time.Duration]{}, noReport, down},
		"answer latency negative":      {-baseline, false, fresh, report(1, 0), hold}, // ignored, so that there is no step
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r ramp.Ramp
			r.Start(start)
			first := r.Level()
			for range 10 {
				r.Answered(tt.latency)
			}
			if tt.refused {
				r.Refused()
			}
			is.True(math.Abs(r.Step(at, tt.warm, tt.reported)-first*tt.want) < 1e-9)
		})
	}
}

func TestReportedWarmthBoundsLevel(t *testing.T) {
	is := is.New(t)
	var r ramp.Ramp
	r.Start(start)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		for range 10 {
			r.Answered(baseline)
		}
		r.Step(now, measured.At(baseline, now), measured.At(0.2, now))
	}
	is.True(math.Abs(r.Level()-0.45) < 1e-9)
}

func TestRampEndsAfterMaxDuration(t *testing.T) {
	is := is.New(t)
	var r ramp.Ramp
	is.Equal(r.Level(), 1.0) // the zero Ramp is warm
	r.Start(start)
	now := start
	for ; now.Before(start.Add(ramp.MaxDuration)); now = now.Add(time.Second) {
		r.Refused()
		r.Step(now, measured.At(baseline, now), measured.At(0.0, now))
	}
	is.True(r.Level() < 0.1)
	is.Equal(r.Step(now, measured.At(baseline, now), measured.At(0.0, now)), 1.0)
}

func TestSlots(t *testing.T) {
	is := is.New(t)
	for level, want := range map[float64]int{0: 1, -1: 1, 0.01: 1, 0.5: 3, 0.51: 4, 1: 6, 7: 6} {
		is.Equal(ramp.Slots(level, 6), want)
	}
	is.Equal(ramp.Slots(math.NaN(), 6), 1)
	is.Equal(ramp.Slots(1, 0), 0)
}

// mode selects how a simulation uses the ramp.
type mode struct {
	ramped   bool
	reports  bool // servers report their warmth
	overflow bool // requests use the remaining slots once all usable ones are taken
}

// backend simulates a server whose latency is increased while it is cold, in
// proportion to its running requests. It warms up with time and with the number
// of requests served.
type backend struct {
	ramp            ramp.Ramp
	cold            bool
	running, served int
}

type end struct {
	at, began time.Duration
	server    int
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// firstMinutes returns the p50 and p99 latency of the first five minutes after
// the given number of 30 servers with 6 slots have started, at a load of 0.6.
func firstMinutes(cold int, m mode, seed uint64) (p50, p99 time.Duration) {
	const servers, slots, length = 30, 6, 5 * time.Minute
	r := rand.New(rand.NewPCG(seed, 1))
	list := make([]backend, servers)
	for i := range cold {
		list[i].cold = true
		if m.ramped {
			list[i].ramp.Start(start)
		}
	}
	var running ends
	var waiting, latencies []time.Duration
	gap := float64(baseline) / (0.6 * servers * slots)
	begin := func(now, came time.Duration) bool {
		for k, first := 0, r.IntN(servers); k < 2*servers; k++ {
			i := (first + k) % servers
			b := &list[i]
			limit := ramp.Slots(b.ramp.Level(), slots)
			if m.overflow && k >= servers { // no usable slot is free: use the remaining slots
				limit = slots
			}
			if b.running >= limit {
				continue
			}
			b.running++
			mean := float64(baseline) * (1 + 19*b.coldness(now)*float64(b.running)/slots)
			heap.Push(&running, end{now + time.Duration(r.ExpFloat64()*mean), came, i})
			return true
		}
		return false
	}
	next, step := time.Duration(0), time.Second
	for next < length {
		if len(running) > 0 && running[0].at < next {
			e := heap.Pop(&running).(end)
			b := &list[e.server]
			b.running--
			b.served++
			latencies = append(latencies, e.at-e.began)
			b.ramp.Answered(e.at - e.began)
			if len(waiting) > 0 && begin(e.at, waiting[0]) {
				waiting = waiting[1:]
			}
			continue
		}
		if next >= step {
			for i := range list {
				report := measured.Value[float64]{}
				if m.reports { // delayed by 2 s
					report = measured.At(1-list[i].coldness(step-2*time.Second), start.Add(step-2*time.Second))
				}
				list[i].ramp.Step(start.Add(step), measured.At(baseline, start.Add(step)), report)
			}
			step += time.Second
		}
		if len(waiting) > 0 || !begin(next, next) {
			waiting = append(waiting, next)
		}
		next += time.Duration(r.ExpFloat64() * gap)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], latencies[len(latencies)*99/100]
}

func (b *backend) coldness(now time.Duration) float64 {
	if !b.cold {
		return 0
	}
	return math.Exp(-float64(b.served)/600 - max(now.Seconds(), 0)/60)
}

func TestRampReducesLatencyAfterStart(t *testing.T) {
	_, without := firstMinutes(5, mode{}, 0)
	_, byAnswers := firstMinutes(5, mode{ramped: true, overflow: true}, 0)
	_, reported := firstMinutes(5, mode{ramped: true, reports: true, overflow: true}, 0)
	t.Logf("p99 without %s, by answers %s, with reports %s", without, byAnswers, reported)
	if byAnswers > without*95/100 || reported > without*95/100 {
		t.Errorf("p99 without %s, by answers %s, with reports %s", without, byAnswers, reported)
	}
}

// BenchmarkFirstFiveMinutes reports the table in docs/design/ramp.md.
func BenchmarkFirstFiveMinutes(b *testing.B) {
	modes := []struct {
		name string
		mode mode
	}{
		{"without", mode{}},
		{"held", mode{ramped: true}},
		{"held,reports", mode{ramped: true, reports: true}},
		{"overflow", mode{ramped: true, overflow: true}},
		{"overflow,reports", mode{ramped: true, reports: true, overflow: true}},
	}
	for _, cold := range []int{0, 1, 5, 10, 15, 20} {
		for _, m := range modes {
			b.Run(fmt.Sprintf("cold=%d/%s", cold, m.name), func(b *testing.B) {
				for b.Loop() {
					worst := time.Duration(0)
					for seed := range uint64(3) {
						_, p99 := firstMinutes(cold, m.mode, seed)
						worst = max(worst, p99)
					}
					b.ReportMetric(float64(worst.Milliseconds()), "p99-ms")
				}
			})
		}
	}
}

func BenchmarkStep(b *testing.B) {
	var r ramp.Ramp
	warm, report := measured.At(baseline, start), measured.At(0.5, start)
	b.ReportAllocs()
	for b.Loop() {
		r.Start(start)
		r.Answered(baseline)
		r.Step(start, warm, report)
	}
}
