package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// Low is the load, as a share of slots in use, under which a region takes
	// requests back.
	Low = 0.60
	// High is the load over which a region passes requests on.
	High = 0.85
	// MaxAge is the greatest age of a load that is acted on.
	MaxAge = 30 * time.Second
	// maxLoad is the greatest load that is believed. Requests that wait for a
	// slot count, so that a load may be above 1.
	maxLoad = 10.0

	goal     = (Low + High) / 2
	stepDown = 0.25
	stepUp   = 0.125
	minKeep  = 1.0 / 64
	// settle is how long a step takes to show in a measurement.
	settle = 2 * time.Second
)

type (
	// Region is a region that a service's requests may go to, as seen from
	// one entry.
	Region struct {
		// Name is the region's name.
		Name id.Region
		// Delay is the one-way delay from the entry.
		Delay time.Duration
		// Weight is the region's share within its tier; 0 keeps the region
		// for overflow.
		Weight int
	}

	// Part is the share of an entry's requests that a region gets first.
	Part struct {
		// Region is the region's name.
		Region id.Region
		// Share is 0 to 1; the shares of all parts sum to 1.
		Share float64
	}

	// Steer splits one service's requests at one entry among regions.
	Steer struct {
		regions []Region
		tier    []int
		keep    []float64
		changed []time.Time
	}
)

// NewSteer returns a Steer in which the nearest tier keeps everything.
func NewSteer(regions []Region) *Steer {
	s := &Steer{regions: slices.Clone(regions)}
	slices.SortStableFunc(s.regions, func(a, b Region) int {
		if over := compareBool(a.Weight == 0, b.Weight == 0); over != 0 {
			return over
		}
		return cmp.Or(cmp.Compare(a.Delay, b.Delay), cmp.Compare(a.Name, b.Name))
	})
	for i, r := range s.regions {
		tier := 0
		if i > 0 {
			prev := s.regions[i-1]
			tier = s.tier[i-1]
			if r.Delay != prev.Delay || (r.Weight == 0) != (prev.Weight == 0) {
				tier++
			}
		}
		s.tier = append(s.tier, tier)
		s.keep = append(s.keep, 1)
	}
	s.changed = make([]time.Time, len(s.regions))
	return s
}

// Regions returns the regions that a service allows, as seen from a zone.
func Regions(d *deployment.Deployment, f *service.File, from id.Zone) []Region {
	home, _ := d.Region(from)
	regions := make([]Region, len(f.Regions))
	for i, r := range f.Regions {
		regions[i] = Region{Name: r.Name, Weight: r.Weight}
		if r.Name != home {
			regions[i].Delay = d.Delays.Regions.Std()
		}
	}
	return regions
}

// Step takes the regions' loads, each a share of the region's slots, and tells
// whether the parts changed.
func (s *Steer) Step(now time.Time, loads map[id.Region]measured.Value[float64]) bool {
	changed := false
	for i := range s.regions {
		next := s.next(now, i, loads)
		if next != s.keep[i] {
			s.keep[i], s.changed[i] = next, now
			changed = true
		}
	}
	return changed
}

// Parts returns the regions with what each gets first, nearest first.
func (s *Steer) Parts() []Part {
	parts := make([]Part, len(s.regions))
	flow := 1.0
	for i := 0; i < len(parts); {
		end, weights, kept := s.tierFrom(i)
		whole := weights
		if end == len(parts) {
			whole = kept // the last tier passes nothing on
		}
		rest := flow
		for k := i; k < end; k++ {
			parts[k] = Part{Region: s.regions[k].Name, Share: flow * s.weight(k) * s.keep[k] / whole}
			rest -= parts[k].Share
		}
		flow, i = max(rest, 0), end
	}
	return parts
}

// tierFrom returns the end of the tier that starts at i, the sum of its
// weights, and the sum of what its regions keep of them.
func (s *Steer) tierFrom(i int) (end int, weights, kept float64) {
	for end = i; end < len(s.regions) && s.tier[end] == s.tier[i]; end++ {
		weights += s.weight(end)
		kept += s.weight(end) * s.keep[end]
	}
	return end, weights, kept
}

func (s *Steer) weight(i int) float64 { return float64(max(s.regions[i].Weight, 1)) }

func (s *Steer) next(now time.Time, i int, loads map[id.Region]measured.Value[float64]) float64 {
	value := loads[s.regions[i].Name]
	load, ok := read(now, value)
	if !ok || !s.shown(now, i, value) {
		return s.keep[i]
	}
	wanted := 1.0
	if load > 0 {
		wanted = min(s.keep[i]*goal/load, 1)
	}
	switch {
	case load > High && s.room(now, i, loads):
		return max(wanted, s.keep[i]-stepDown, minKeep)
	case load < Low:
		return min(wanted, s.keep[i]+stepUp)
	default:
		return s.keep[i]
	}
}

// shown tells whether a value was taken after the region's last step, and the
// steps of the tiers before it, could show.
func (s *Steer) shown(now time.Time, i int, value measured.Value[float64]) bool {
	age, _ := value.Age(now)
	taken := now.Add(-age)
	for k := range s.regions {
		if s.tier[k] <= s.tier[i] && taken.Before(s.changed[k].Add(settle)) {
			return false
		}
	}
	return true
}

// room tells whether a region that would get what region i passes on can take
// more: one of a later tier, or another one of the last tier.
func (s *Steer) room(now time.Time, i int, loads map[id.Region]measured.Value[float64]) bool {
	last := s.tier[len(s.tier)-1]
	for k := range s.regions {
		if k == i || s.tier[k] < s.tier[i] || (s.tier[k] == s.tier[i] && s.tier[k] < last) {
			continue
		}
		if load, ok := read(now, loads[s.regions[k].Name]); ok && load < High {
			return true
		}
	}
	return false
}

func read(now time.Time, v measured.Value[float64]) (float64, bool) {
	load, state := v.Read(now, MaxAge)
	if state != measured.Fresh || !(load >= 0 && load <= maxLoad) {
		return 0, false
	}
	return load, true
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
