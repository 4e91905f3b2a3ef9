package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// organisations is the number of organisations, whose shares are like the inverse of
	// their rank to the power of rankExponent.
	organisations = 83
	rankExponent  = 1.2
	// disturbedFrom is when the disturbance of an Allocation begins.
	disturbedFrom = 12 * time.Second
)

// Allocation is a load that exceeds the capacity, with organisations as callers.
type Allocation struct {
	// Name describes the load.
	Name string
	// From and To bound the period that counts.
	From, To time.Duration
	// Large reports whether an organisation is above its share.
	Large func(*Organisation) bool
	// Model creates the simulation for a seed. The servers, entries and rates are those of
	// the reads' service, divided by scale.
	Model func(seed uint64, scale int) *Model
}

// Allocations returns the loads by which the allocation of capacity is tried.
func Allocations() []Allocation {
	first := func(o *Organisation) bool { return o.Name == "org-0" }
	none := func(*Organisation) bool { return false }
	repeating := func(o *Organisation) bool { return o.Repeats }
	from, to := disturbedFrom+3*time.Second, disturbedFrom+13*time.Second
	return []Allocation{
		{"a wave of uploads", from, to, none, func(seed uint64, scale int) *Model {
			return allocated(seed, scale, 1.6, 12)
		}},
		{"readers at twice the capacity", from, to, none, func(seed uint64, scale int) *Model {
			return allocated(seed, scale, 5.5, 1)
		}},
		{"one large organisation at five times its usual demand", from, to, first, func(seed uint64, scale int) *Model {
			m := allocated(seed, scale, 2, 1)
			m.Classes[0].Wave, m.Classes[1].Wave = nil, nil
			fiveTimes(m)
			return m
		}},
		{"callers that repeat at once", from, to, repeating, func(seed uint64, scale int) *Model {
			m := allocated(seed, scale, 3.5, 1)
			repeatAtOnce(m)
			return m
		}},
		{"the callers of a region move", from, to, none, func(seed uint64, scale int) *Model {
			m := allocated(seed, scale, 3.5, 1)
			move(m)
			return m
		}},
		{"all together", from, to, func(o *Organisation) bool { return first(o) || repeating(o) }, func(seed uint64, scale int) *Model {
			m := allocated(seed, scale, 2, 6)
			fiveTimes(m)
			repeatAtOnce(m)
			move(m)
			return m
		}},
	}
}

// allocated is the reads' service, which also gets some of the uploads. From disturbedFrom
// on, the rates are multiplied by reads and uploads.
func allocated(seed uint64, scale int, reads, uploads float64) *Model {
	servers := 152 / scale
	wave := func(factor float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= disturbedFrom {
				return 1
			}
			return 1 / factor
		}
	}
	m := &Model{
		Seed: seed, Length: disturbedFrom + 20*time.Second, Entries: max(33/scale, 2), Delay: 12 * time.Millisecond, Attempts: 2,
		Service: Service{Regions: []int{servers / 3, servers / 3, servers - 2*(servers/3)}, Slots: 9, Queue: 27, WarmObjects: 40, WarmSaving: 0.7},
		Classes: []Class{
			{
				Kind: service.Read, Rate: 1389 * reads / float64(scale), Objects: 8 * servers, ServiceTime: 1200 * time.Millisecond,
				Objective: 800 * time.Millisecond, Deadline: 6 * time.Second, Wave: wave(reads),
			},
			{
				Kind: service.Upload, Rate: 50 * uploads / float64(scale), Objects: 8 * servers, ServiceTime: 1440 * time.Millisecond,
				Objective: 2 * time.Second, Deadline: 10 * time.Second, Priority: 2, Wave: wave(uploads),
			},
		},
	}
	sum := 0.0
	for i := range organisations {
		m.Organisations = append(m.Organisations, Organisation{
			Name: id.Organisation(fmt.Sprintf("org-%d", i)), Share: math.Pow(float64(i+1), -rankExponent),
		})
		sum += m.Organisations[i].Share
	}
	for i := range m.Organisations {
		m.Organisations[i].Share /= sum
	}
	return m
}

// fiveTimes lets the largest organisation request five times its usual demand.
func fiveTimes(m *Model) {
	m.Organisations[0].Peak = 5
	m.Organisations[0].Demand = func(at time.Duration) float64 {
		if at >= disturbedFrom {
			return 5
		}
		return 1
	}
}

// repeatAtOnce lets the callers of a quarter of the organisations retry at once.
func repeatAtOnce(m *Model) {
	for i := range m.Organisations {
		m.Organisations[i].Repeats = slices.Contains([]int{1}, i%4)
	}
}

// move lets the callers of the last region use the entries of the first one. Each third
// organisation has its callers there.
func move(m *Model) {
	for i := range m.Organisations {
		if i%3 != 2 {
			continue
		}
		m.Organisations[i].Region = func(at time.Duration) int {
			if at >= disturbedFrom {
				return 0
			}
			return len(m.Service.Regions) - 1
		}
	}
}
