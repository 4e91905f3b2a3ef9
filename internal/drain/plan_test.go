package drain_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/drain"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// job returns a job for one service with servers spread evenly over three regions.
func job(servers, slots int, floor, used float64) drain.Job {
	j := drain.Job{Drain: 5 * time.Minute, Restart: time.Minute, SlowStart: 2 * time.Minute}
	for r := range 3 {
		name := id.Region(fmt.Sprintf("r%d", r))
		total := servers / 3 * slots
		j.Regions = append(j.Regions, drain.Region{Name: name, Slots: total, Floor: floor, Used: measured.At(used*float64(total), start)})
	}
	for s := range servers {
		j.Members = append(j.Members, drain.Member{Name: id.Server(fmt.Sprintf("s%d", s)), Region: id.Region(fmt.Sprintf("r%d", s%3)), Slots: slots})
	}
	return j
}

func TestPlanSkipsInvalidInputs(t *testing.T) {
	region := func(change func(*drain.Region)) func(*drain.Job) {
		return func(j *drain.Job) { change(&j.Regions[0]) }
	}
	tests := map[string]struct {
		change  func(*drain.Job)
		batches int
		skipped int
	}{
		"half free":            {func(*drain.Job) {}, 2, 0},
		"load missing":         {region(func(r *drain.Region) { r.Used = measured.Value[float64]{} }), 2, 10},
		"load stale":           {region(func(r *drain.Region) { r.Used = measured.At(1.0, start.Add(-time.Hour)) }), 2, 10},
		"load in the future":   {region(func(r *drain.Region) { r.Used = measured.At(1.0, start.Add(time.Hour)) }), 2, 10},
		"load NaN":             {region(func(r *drain.Region) { r.Used = measured.At(math.NaN(), start) }), 2, 10},
		"load infinite":        {region(func(r *drain.Region) { r.Used = measured.At(math.Inf(1), start) }), 2, 10},
		"load negative":        {region(func(r *drain.Region) { r.Used = measured.At(-1.0, start) }), 2, 10},
		"load too large":       {region(func(r *drain.Region) { r.Used = measured.At(1e12, start) }), 2, 10},
		"floor NaN":            {region(func(r *drain.Region) { r.Floor = math.NaN() }), 2, 10},
		"floor negative":       {region(func(r *drain.Region) { r.Floor = -1 }), 2, 10},
		"floor of 1":           {region(func(r *drain.Region) { r.Floor = 1 }), 2, 10},
		"no slots":             {region(func(r *drain.Region) { r.Slots = 0 }), 2, 10},
		"region unknown":       {func(j *drain.Job) { j.Regions = j.Regions[1:] }, 2, 10},
		"server without slots": {func(j *drain.Job) { j.Members[0].Slots = -1 }, 2, 1},
		"server too large":     {func(j *drain.Job) { j.Members[0].Slots = 31 }, 2, 1},
		"negative drain time":  {func(j *drain.Job) { j.Drain = -time.Hour }, 2, 0},
		"no members":           {func(j *drain.Job) { j.Members = nil }, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := job(30, 6, 0.1, 0.4)
			tt.change(&j)
			p := drain.NewPlan(start, j)
			is.Equal(len(p.Batches), tt.batches)
			is.Equal(len(p.Skipped), tt.skipped)
			is.True(p.Length() >= 0)
		})
	}
}

// TestPlanKeepsFloors checks that no batch lowers a region's headroom below its
// floor, and that each server is either in exactly one batch or skipped.
func TestPlanKeepsFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drain.Job{Drain: time.Minute}
		regions := map[id.Region]drain.Region{}
		for i := range rapid.IntRange(1, 4).Draw(t, "regions") {
			r := drain.Region{Name: id.Region(fmt.Sprint(i)), Floor: rapid.Float64Range(0, 0.9).Draw(t, "floor")}
			for range rapid.IntRange(1, 15).Draw(t, "servers") {
				m := drain.Member{Name: id.Server(fmt.Sprint(len(j.Members))), Region: r.Name, Slots: rapid.IntRange(1, 9).Draw(t, "slots")}
				r.Slots += m.Slots
				j.Members = append(j.Members, m)
			}
			r.Used = measured.At(rapid.Float64Range(0, 1).Draw(t, "used")*float64(r.Slots), start)
			regions[r.Name] = r
			j.Regions = append(j.Regions, r)
		}
		p := drain.NewPlan(start, j)
		seen := map[id.Server]int{}
		for _, b := range p.Batches {
			away := map[id.Region]int{}
			for _, name := range b.Servers {
				seen[name]++
				for _, m := range j.Members {
					if m.Name == name {
						away[m.Region] += m.Slots
					}
				}
			}
			for name, n := range away {
				r := regions[name]
				used, _ := r.Used.Read(start, 0)
				if headroom := (float64(r.Slots-n) - used) / float64(r.Slots); headroom < r.Floor-1e-6 {
					t.Fatalf("headroom %v in region %s, floor %v", headroom, name, r.Floor)
				}
			}
		}
		for _, s := range p.Skipped {
			seen[s.Server]++
		}
		for _, m := range j.Members {
			if seen[m.Name] != 1 {
				t.Fatalf("server %s is in the plan %d times, want 1", m.Name, seen[m.Name])
			}
		}
	})
}

// TestBothDeployments checks the headroom and the longest drain time for the
// services of both example deployments. The tables in docs/design/drains.md are its
// log.
func TestBothDeployments(t *testing.T) {
	services := []struct {
		name           string
		servers, slots int
	}{{"beridze registry", 30, 6}, {"beridze evidence vault", 12, 3}, {"dansk register", 30, 7}, {"dansk report vault", 12, 3}}
	for _, s := range services {
		for _, floor := range []float64{0.05, 0.15, 0.25, 0.35} {
			j := job(s.servers, s.slots, floor, 0.4)
			p := drain.NewPlan(start, j)
			region := j.Regions[0].Slots
			least := 0.0
			if len(p.Headroom) > 0 {
				least = p.Headroom[0].Min
			}
			remaining := int(math.Round((least + 0.4) * float64(region)))
			t.Logf("%s: floor %.2f, %d batches, longest drain time in an hour %s, least headroom %.2f, p99 of waiting %.2f mean service times, skipped %d",
				s.name, floor, len(p.Batches), p.MaxDrainTime(time.Hour).Round(time.Second), least, waiting(remaining, 0.4*float64(region)), len(p.Skipped))
			if least < floor-1e-9 || p.MaxDrainTime(time.Hour) < 2*time.Minute {
				t.Errorf("%s: floor %.2f: headroom %.2f, longest drain time %s", s.name, floor, least, p.MaxDrainTime(time.Hour))
			}
		}
	}
}

// waiting returns the 99th percentile of the waiting time, in mean service times,
// of one queue for c slots under an offered load, by the Erlang C formula.
func waiting(c int, load float64) float64 {
	b := 1.0
	for k := 1; k <= c; k++ {
		b = load * b / (float64(k) + load*b)
	}
	rho := load / float64(c)
	wait := b / (1 - rho*(1-b))
	if wait <= 0.01 {
		return 0
	}
	return math.Log(wait/0.01) / (float64(c) - load)
}

func BenchmarkNewPlan(b *testing.B) {
	j := job(30, 6, 0.2, 0.4)
	b.ReportAllocs()
	for b.Loop() {
		drain.NewPlan(start, j)
	}
}
