package link_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/link"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

var (
	start  = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)
	danish = &deployment.Link{Between: [2]id.Region{"fyn", "jylland"}, Capacity: 300 * unit.Mbit, Share: 0.5}
)

func TestLimitInputs(t *testing.T) {
	at := func(r unit.BitRate, age time.Duration) measured.Value[unit.BitRate] {
		return measured.At(r, start.Add(-age))
	}
	with := func(c unit.BitRate, share float64) *deployment.Link {
		return &deployment.Link{Capacity: c, Share: share}
	}
	tests := map[string]struct {
		link    *deployment.Link
		foreign measured.Value[unit.BitRate]
		want    unit.BitRate
	}{
		"idle":               {danish, at(0, 0), 150 * unit.Mbit},
		"half used":          {danish, at(150*unit.Mbit, 5*time.Second), 135 * unit.Mbit},
		"full":               {danish, at(300*unit.Mbit, 0), 15 * unit.Mbit},
		"missing":            {danish, measured.Value[unit.BitRate]{}, 75 * unit.Mbit},
		"stale":              {danish, at(0, time.Minute), 75 * unit.Mbit},
		"from the future":    {danish, at(0, -time.Minute), 75 * unit.Mbit},
		"negative":           {danish, at(-1, 0), 75 * unit.Mbit},
		"out of range":       {danish, at(math.MaxInt64, 0), 75 * unit.Mbit},
		"share is NaN":       {with(300*unit.Mbit, math.NaN()), at(0, 0), 0},
		"share is negative":  {with(300*unit.Mbit, -0.5), at(0, 0), 0},
		"share is above one": {with(300*unit.Mbit, 1.5), at(0, 0), 0},
		"negative capacity":  {with(-1, 0.5), at(0, 0), 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(link.Limit(tt.link, tt.foreign, start), tt.want)
		})
	}
}

func TestBudgetInputs(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		all    unit.Bytes
		share  float64
		size   unit.Bytes
		within time.Duration
		ok     bool
	}{
		"fits":             {10 * unit.MiB, 0.5, 4 * unit.MiB, second, true},
		"too large":        {10 * unit.MiB, 0.5, 6 * unit.MiB, second, false},
		"more time":        {10 * unit.MiB, 0.5, 6 * unit.MiB, 2 * second, true},
		"empty":            {10 * unit.MiB, 0.5, 0, second, true},
		"negative size":    {10 * unit.MiB, 0.5, -1, second, false},
		"no time":          {10 * unit.MiB, 0.5, 1, 0, false},
		"negative time":    {10 * unit.MiB, 0.5, 1, -second, false},
		"share is NaN":     {10 * unit.MiB, math.NaN(), 1, second, false},
		"negative share":   {10 * unit.MiB, -1, 1, second, false},
		"share of 1":       {10 * unit.MiB, 1, 4 * unit.MiB, second, true},
		"share above 1":    {10 * unit.MiB, 1.1, 1, second, false},
		"negative rate":    {-1, 0.5, 1, second, false},
		"rate of one byte": {1, 1, 1, second, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b link.Budget
			b.SetRate(tt.all, tt.share)
			body, retry := b.Admit(tt.size, tt.within)
			is.Equal(body != nil, tt.ok)
			is.Equal(retry > 0, !tt.ok)
		})
	}
}

func TestCloseReturnsReservationOnce(t *testing.T) {
	is := is.New(t)
	var b link.Budget
	b.SetRate(10*unit.MiB, 1)
	first, _ := b.Admit(8*unit.MiB, time.Second)
	refused, _ := b.Admit(8*unit.MiB, time.Second)
	is.True(refused == nil)
	first.Close()
	first.Close()
	second, _ := b.Admit(8*unit.MiB, time.Second)
	is.True(second != nil)
	third, _ := b.Admit(8*unit.MiB, time.Second)
	is.True(third == nil) // the second Close had no effect
}

func TestRemainingBodyGetsFullRate(t *testing.T) {
	is := is.New(t)
	var b link.Budget
	b.SetRate(10_000_000, 0.1)
	one, _ := b.Admit(unit.MiB, time.Minute)
	other, _ := b.Admit(unit.MiB, time.Minute)
	both := [2]int{}
	now := start
	for ; now.Before(start.Add(2 * time.Second)); now = now.Add(time.Millisecond) {
		for i, body := range []*link.Body{one, other} {
			n, _ := body.Next(now, 1<<20)
			both[i] += n
		}
	}
	other.Close()
	alone := 0
	for ; now.Before(start.Add(4 * time.Second)); now = now.Add(time.Millisecond) {
		n, _ := one.Next(now, 1<<20)
		alone += n
	}
	is.True(alone > 1_800_000) // over 90% of 2 s at 1 MB/s
	is.True(both[0]+both[1] > 1_800_000)
}

// traffic records the bytes sent over one direction in each millisecond.
type traffic struct {
	ours, foreign, small []float64
	limit                []float64 // bytes per second for all entries together
	delay                []float64 // queueing delay in the link, in seconds
}

// drive simulates seven entries with unequal shares, foreign traffic whose
// measurements are delayed by 5 s, and, if bodies is set, bodies that always have
// data to send.
func drive(length time.Duration, bodies bool, seed uint64) *traffic {
	r := rand.New(rand.NewPCG(seed, 2))
	const entries, lag = 7, 5000
	budgets := make([]link.Budget, entries)
	var open []*link.Body
	tr := new(traffic)
	foreign, slope, queue := 0.55, 0.0, 0.0
	capacity := float64(danish.Capacity.BytesPerSecond())
	for ms := range int(length / time.Millisecond) {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%1000 == 0 {
			slope = (r.Float64() - 0.5) * 0.016 // share of the capacity per second
		}
		foreign = min(max(foreign+slope/1000, 0.1), 0.9)
		tr.foreign = append(tr.foreign, foreign*capacity/1000)
		if ms%100 == 0 {
			var value measured.Value[unit.BitRate]
			if ms >= lag {
				value = measured.At(unit.BitRate(tr.foreign[ms-lag]*8000), now.Add(-lag*time.Millisecond))
			}
			limit := link.Limit(danish, value, now).BytesPerSecond()
			for i := range budgets {
				budgets[i].SetRate(limit, []float64{0.3, 0.2, 0.1, 0.1, 0.1, 0.1, 0.1}[i])
				if len(open) < entries && bodies {
					body, _ := budgets[i].Admit(unit.MiB, time.Hour)
					open = append(open, body)
				}
			}
			tr.limit = append(tr.limit, float64(limit))
		}
		ours, small := 0.0, 0.0
		for i := range budgets {
			if r.IntN(20) == 0 && budgets[i].AdmitSmall(now, 800) {
				small += 800
			}
			if !bodies {
				continue
			}
			for {
				n, _ := open[i].Next(now, 1<<20)
				if n == 0 {
					break
				}
				ours += float64(n)
			}
		}
		tr.ours, tr.small = append(tr.ours, ours+small), append(tr.small, small)
		queue = max(queue+ours+small+foreign*capacity/1000-capacity/1000, 0)
		tr.delay = append(tr.delay, (queue+ours+small)/capacity)
	}
	return tr
}

func TestRateHoldsInAnySecond(t *testing.T) {
	for seed := range uint64(2) {
		tr := drive(60*time.Second, true, seed)
		capacity := float64(danish.Capacity.BytesPerSecond())
		ours, all, sent, allowed := 0.0, 0.0, 0.0, 0.0
		for ms := range tr.ours {
			ours += tr.ours[ms]
			all += tr.ours[ms] + tr.foreign[ms]
			if ms >= 1000 {
				ours -= tr.ours[ms-1000]
				all -= tr.ours[ms-1000] + tr.foreign[ms-1000]
			}
			highest := slices.Max(tr.limit[max(ms-999, 0)/100 : ms/100+1])
			if ours > highest+1e-3 {
				t.Fatalf("seed %d: second up to %d ms has %.0f bytes, limit %.0f", seed, ms, ours, highest)
			}
			if all > capacity+1e-3 {
				t.Fatalf("seed %d: second up to %d ms has %.0f bytes in total, capacity %.0f", seed, ms, all, capacity)
			}
			sent += tr.ours[ms]
			allowed += tr.limit[ms/100] / 1000
		}
		t.Logf("seed %d: %.1f%% of the budget used", seed, 100*sent/allowed)
		if sent < 0.9*allowed {
			t.Errorf("seed %d: only %.1f%% of the budget used", seed, 100*sent/allowed)
		}
	}
}

func TestSmallRequestsDoNotWaitForBodies(t *testing.T) {
	for seed := range uint64(2) {
		empty, full := drive(30*time.Second, false, seed), drive(30*time.Second, true, seed)
		e, f := p99(empty), p99(full)
		t.Logf("seed %d: p99 over the link %.2f ms empty, %.2f ms full (+%.1f%%)", seed, e*1000, f*1000, 100*(f/e-1))
		if f > 1.1*e {
			t.Errorf("seed %d: p99 %.2f ms empty, %.2f ms full", seed, e*1000, f*1000)
		}
	}
}

// p99 returns the 99th percentile of the round-trip time of a small request over
// the link: two one-way delays of 20 ms and the queueing delay.
func p99(tr *traffic) float64 {
	var times []float64
	for ms, small := range tr.small {
		if small > 0 {
			times = append(times, 2*0.020+tr.delay[ms])
		}
	}
	slices.Sort(times)
	return times[len(times)*99/100]
}

// The bytes in any second must stay within the rate for any sequence of calls.
func TestRateHoldsForAnyCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b link.Budget
		rate := rapid.IntRange(10_000, 50_000_000).Draw(t, "rate")
		b.SetRate(unit.Bytes(rate), 1)
		body, _ := b.Admit(1, time.Hour)
		if body == nil {
			t.Skip("the rate is too low for a body")
		}
		type sent struct {
			at    time.Duration
			bytes int
		}
		var all []sent
		at := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			at += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "us")) * time.Microsecond
			now := start.Add(at)
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				size := rapid.IntRange(1, 4000).Draw(t, "size")
				if b.AdmitSmall(now, unit.Bytes(size)) {
					all = append(all, sent{at, size})
				}
			default:
				for {
					n, _ := body.Next(now, 1<<20)
					if n == 0 {
						break
					}
					all = append(all, sent{at, n})
				}
			}
		}
		for i := range all {
			sum := 0
			for _, s := range all[i:] {
				if s.at >= all[i].at+time.Second {
					break
				}
				sum += s.bytes
			}
			if sum > rate {
				t.Fatalf("%d bytes in the second from %s, rate %d", sum, all[i].at, rate)
			}
		}
	})
}

func BenchmarkNext(b *testing.B) {
	var budget link.Budget
	budget.SetRate(unit.GiB, 1)
	body, _ := budget.Admit(1, time.Hour)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Microsecond)
		body.Next(now, 1<<20)
	}
}

func BenchmarkAdmitSmall(b *testing.B) {
	var budget link.Budget
	budget.SetRate(unit.GiB, 1)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		budget.AdmitSmall(now, 800)
	}
}

func TestNextAndAdmitSmallDoNotAllocate(t *testing.T) {
	is := is.New(t)
	var budget link.Budget
	budget.SetRate(unit.GiB, 1)
	body, _ := budget.Admit(1, time.Hour)
	is.Equal(testing.AllocsPerRun(1000, func() {
		body.Next(start, 1<<20)
		budget.AdmitSmall(start, 800)
	}), 0.0)
}

// A request of size MaxSmall is admitted while bodies use the whole rate.
func TestMaxSmallIsAdmittedWhileBodiesUseWholeRate(t *testing.T) {
	is := is.New(t)
	var budget link.Budget
	budget.SetRate(3_000_000, 1)
	body, _ := budget.Admit(1, time.Hour)
	now := start
	for range 100 {
		for n := 1; n > 0; {
			n, _ = body.Next(now, 1<<20)
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(budget.MaxSmall() > 40_000)
	is.True(budget.AdmitSmall(now, budget.MaxSmall()))
	is.True(!budget.AdmitSmall(now, budget.MaxSmall()))
}
