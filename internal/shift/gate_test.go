package shift_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/share"
	"github.com/shallotpier/shallotpier/internal/shift"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const window = 4 * time.Second

var start = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

func TestGateFloorInputs(t *testing.T) {
	tests := map[string]struct {
		floor, grant unit.Rate
		until        time.Duration
		want         int // requests admitted two windows later
	}{
		"floor alone":         {floor: 10, want: 40},
		"no floor":            {},
		"NaN floor":           {floor: unit.Rate(math.NaN())},
		"negative floor":      {floor: -1},
		"infinite floor":      {floor: unit.Rate(math.Inf(1))},
		"grant active":        {floor: 10, grant: 20, until: time.Minute, want: 80},
		"grant expired":       {floor: 10, grant: 20, until: -time.Second, want: 40},
		"grant below floor":   {floor: 10, grant: 1, until: time.Minute, want: 40},
		"NaN grant":           {floor: 10, grant: unit.Rate(math.NaN()), until: time.Minute, want: 40},
		"negative grant":      {floor: 10, grant: -5, until: time.Minute, want: 40},
		"infinite grant":      {floor: 10, grant: unit.Rate(math.Inf(1)), until: time.Minute, want: 40},
		"grant ends in pause": {floor: 10, grant: 20, until: window + window/2, want: 40},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := shift.NewGate(window, tt.floor, start, start.Add(-3*window))
			g.Grant(start, tt.grant, start.Add(tt.until))
			is.Equal(admitAll(g, start.Add(2*window)), tt.want)
		})
	}
}

func TestGateAdmitsNothingInFirstWindowAfterTakeover(t *testing.T) {
	is := is.New(t)
	g := shift.NewGate(window, 10, start, start)
	is.Equal(admitAll(g, start), 0)
	is.Equal(admitAll(g, start.Add(window/2)), 0)
	is.Equal(admitAll(g, start.Add(window+window/64)), 40)
}

func TestGateRisesByAtMostCapPerWindow(t *testing.T) {
	is := is.New(t)
	g := shift.NewGate(window, 10, start, start.Add(-3*window))
	var got []int
	for w := range 4 {
		n := 0
		for i := range 400 { // demand far above the cap
			if ok, _ := g.Admit(start.Add(time.Duration(w)*window + time.Duration(i)*window/400)); ok {
				n++
			}
		}
		got = append(got, n)
	}
	is.Equal(got[0], 40)
	for w := 1; w < 4; w++ {
		is.True(got[w] > got[w-1])     // the rate rises
		is.True(got[w] <= got[w-1]+40) // by at most the cap
	}
}

func TestGateAdmitsNothingMoreWhenClockStepsBack(t *testing.T) {
	is := is.New(t)
	g := shift.NewGate(window, 10, start, start.Add(-3*window))
	is.Equal(admitAll(g, start.Add(window)), 40)
	is.Equal(admitAll(g, start), 0) // an earlier time gives no further admissions
}

func TestGateCountsAllConcurrentAdmissions(t *testing.T) {
	is := is.New(t)
	const limit, sent = 40_000, 80_000
	g := shift.NewGate(window, limit/4, start, start.Add(-3*window))
	var clock, admitted atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range sent / 8 {
				now := start.Add(time.Duration(clock.Add(int64(window) / sent)))
				if ok, _ := g.Admit(now); ok {
					admitted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	is.Equal(admitted.Load(), int64(limit))
}

// model simulates entries with their gates, one plan, and messages between them
// that are lost, delayed, duplicated and reordered.
type model struct {
	t        *rapid.T
	now      time.Time
	rise     unit.Rate
	entries  []*entry
	plan     *share.Plan
	answers  []answer
	requests []share.Request
	admitted []time.Duration
}

type entry struct {
	gate   *shift.Gate
	who    share.Holder
	number uint64
	sent   time.Time
	died   time.Time
	paused time.Time
	demand int
}

type answer struct {
	to    int
	who   share.Holder
	grant share.Grant
}

func newModel(t *rapid.T) *model {
	n := rapid.IntRange(1, 5).Draw(t, "entries")
	m := &model{t: t, now: start, rise: unit.Rate(rapid.IntRange(1, 40).Draw(t, "rise"))}
	m.plan = share.NewPlan(n, start.Add(-time.Minute))
	for i := range n {
		e := &entry{who: share.Holder{Instance: id.Instance(rune('a' + i)), Incarnation: 1}, demand: i}
		e.gate = shift.NewGate(window, m.rate(share.Floor(n)), start, start.Add(-3*window))
		m.entries = append(m.entries, e)
	}
	return m
}

func (m *model) step() {
	i := rapid.IntRange(0, len(m.entries)-1).Draw(m.t, "entry")
	e := m.entries[i]
	switch rapid.IntRange(0, 9).Draw(m.t, "event") {
	case 0, 1, 2: // the entry sends a request for its share
		if e.died.IsZero() {
			e.number++
			e.sent = m.now
			m.requests = append(m.requests, share.Request{Holder: e.who, Number: e.number, Held: float64(e.gate.Share(m.now) / m.rise), Demand: float64(e.demand)})
		}
	case 3, 4: // any pending request arrives at the plan
		if k := len(m.requests); k > 0 {
			at := rapid.IntRange(0, k-1).Draw(m.t, "request")
			req := m.requests[at]
			if rapid.Bool().Draw(m.t, "kept") { // otherwise it is duplicated
				m.requests = append(m.requests[:at], m.requests[at+1:]...)
			}
			if grant, ok := m.plan.Answer(m.now, req); ok {
				m.answers = append(m.answers, answer{m.find(req.Holder.Instance), req.Holder, grant})
			}
		}
	case 5, 6: // any pending response arrives at its entry
		if k := len(m.answers); k > 0 {
			at := rapid.IntRange(0, k-1).Draw(m.t, "answer")
			a := m.answers[at]
			m.answers = append(m.answers[:at], m.answers[at+1:]...)
			to := m.entries[a.to]
			if to.who == a.who && a.grant.Number == to.number && to.died.IsZero() {
				to.gate.Grant(m.now, m.rate(a.grant.Share), to.sent.Add(share.GrantTime))
			}
		}
	case 7: // the entry stops, or a new process replaces it
		if e.died.IsZero() {
			e.died = m.now
		} else {
			e.who.Incarnation++
			e.gate = shift.NewGate(window, m.rate(share.Floor(len(m.entries))), m.now, e.died)
			e.number, e.died = 0, time.Time{}
		}
	case 8: // another region fails and its callers use this one
		e.demand += rapid.IntRange(0, 90).Draw(m.t, "more")
	case 9: // demand changes and the process pauses
		e.demand = rapid.IntRange(0, 90).Draw(m.t, "less")
		e.paused = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(m.t, "pause")) * time.Second)
	}
}

func (m *model) rate(share float64) unit.Rate { return unit.Rate(share) * m.rise }

func (m *model) find(name id.Instance) int {
	for i, e := range m.entries {
		if e.who.Instance == name {
			return i
		}
	}
	return 0
}

// run advances the time while callers send requests, including callers with a
// cached lookup that continue to send to a region at its cap.
func (m *model) run() {
	for range rapid.IntRange(1, 12).Draw(m.t, "ticks") {
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(m.t, "ms")) * time.Millisecond)
		for _, e := range m.entries {
			if !e.died.IsZero() || m.now.Before(e.paused) {
				continue
			}
			for range e.demand {
				if ok, _ := e.gate.Admit(m.now); ok {
					m.admitted = append(m.admitted, m.now.Sub(start))
				}
			}
		}
	}
}

// checkShares checks that the sum of the active shares, including those of paused
// entries, is within the rise.
func (m *model) checkShares() {
	sum := unit.Rate(0)
	for _, e := range m.entries {
		if e.died.IsZero() {
			sum += e.gate.Share(m.now)
		}
	}
	if sum > m.rise+1e-9 {
		m.t.Fatalf("active shares sum to %v, rise %v", sum, m.rise)
	}
}

// check checks the cap for every window that starts or ends at an admission.
func (m *model) check() {
	times := m.admitted
	count := func(from, to time.Duration) int { // (from, to]
		return sort.Search(len(times), func(i int) bool { return times[i] > to }) -
			sort.Search(len(times), func(i int) bool { return times[i] > from })
	}
	limit := float64(m.rise) * window.Seconds()
	for _, at := range times {
		for _, t := range []time.Duration{at - 1, at, at - window, at - window - 1, at + window} {
			after, before := count(t, t+window), count(t-window, t)
			if float64(after) > float64(before)+limit+1e-6 {
				m.t.Fatalf("window from %s: %d admitted, %d in the window before, cap %.0f", t, after, before, limit)
			}
		}
	}
}

func TestCapHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			m.step()
			m.run()
			if bound := m.plan.Bound(m.now); bound > 1+1e-9 {
				t.Fatalf("shares sum to %v", bound)
			}
			m.checkShares()
		}
		m.check()
	})
}

func TestSteadyTrafficIsHardlyRefused(t *testing.T) {
	if refused := steady(40, 4*time.Minute); refused > 0.01 {
		t.Errorf("%.2f%% refused", 100*refused)
	}
}

// BenchmarkSteadyTraffic reports the table in docs/design/shift.md.
func BenchmarkSteadyTraffic(b *testing.B) {
	for _, rise := range []unit.Rate{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("rise=%v", rise), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(100*steady(rise, 20*time.Minute), "refused-%")
			}
		})
	}
}

// steady returns the fraction of requests that are refused in the second half of
// the simulated time, at 100 requests per second with Poisson arrivals over 7
// entries.
func steady(rise unit.Rate, length time.Duration) float64 {
	const rate, entries = 100, 7
	r := rand.New(rand.NewPCG(7, 8))
	gates := make([]*shift.Gate, entries)
	for i := range gates {
		gates[i] = shift.NewGate(30*time.Second, rise/entries, start, start.Add(-2*time.Minute))
	}
	sent, refused := 0, 0
	for now := time.Duration(0); now < length; now += time.Duration(r.ExpFloat64() * float64(time.Second) / rate) {
		ok, _ := gates[r.IntN(entries)].Admit(start.Add(now))
		if now < length/2 {
			continue
		}
		sent++
		if !ok {
			refused++
		}
	}
	return float64(refused) / float64(sent)
}

func TestGateAppliesLowerShareImmediately(t *testing.T) {
	is := is.New(t)
	g := shift.NewGate(window, 10, start, start.Add(-3*window))
	at := start.Add(2 * window)
	g.Grant(at, 30, at.Add(time.Minute))
	is.Equal(g.Share(at), unit.Rate(30))
	g.Grant(at, 5, at.Add(time.Minute))
	is.Equal(g.Share(at), unit.Rate(10)) // not below the floor
	for range 15 {
		ok, _ := g.Admit(at)
		is.True(ok)
	}
	g.SetFloor(at, 0)
	is.Equal(g.Share(at), unit.Rate(5))
	is.Equal(admitAll(g, at), 5) // 20 in total
}

func admitAll(g *shift.Gate, now time.Time) int {
	n := 0
	for {
		if ok, _ := g.Admit(now); !ok {
			return n
		}
		n++
	}
}

func BenchmarkGateAdmit(b *testing.B) {
	g := shift.NewGate(window, 1e9, start, start.Add(-3*window))
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(time.Microsecond)
		g.Admit(now)
	}
}

func BenchmarkGateAdmitParallel(b *testing.B) {
	g := shift.NewGate(window, 1e9, start, start.Add(-3*window))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g.Admit(start)
		}
	})
}

func TestAdmitDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	g := shift.NewGate(window, 1000, start, start.Add(-3*window))
	is.Equal(testing.AllocsPerRun(1000, func() { g.Admit(start) }), 0.0)
}
