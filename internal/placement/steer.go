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
	// LowLoad is the load, as a share of slots in use, below which a region
	// keeps a larger fraction of its requests.
	LowLoad = 0.60
	// HighLoad is the load above which a region passes more requests to the
	// next tier.
	HighLoad = 0.85
	// MaxAge is the maximum age of a load measurement that is used.
	MaxAge = 30 * time.Second
	// maxLoad is the maximum plausible load. Requests that wait for a slot
	// count, so the load may exceed 1.
	maxLoad = 10.0

	targetLoad = (LowLoad + HighLoad) / 2
	// stepDown and stepUp bound the change of a kept fraction in one step.
	stepDown = 0.25
	stepUp   = 0.125
	minKeep  = 1.0 / 64
	// settleTime is the time after which the effect of a step is measurable.
	settleTime = 2 * time.Second
)

type (
	// Region is a region that may serve the requests of a service, from the
	// perspective of one entry.
	Region struct {
		// Name is the region's name.
		Name id.Region
		// Delay is the one-way delay from the entry.
		Delay time.Duration
		// Weight is the relative weight within the tier; 0 reserves the region
		// for overflow.
		Weight int
	}

	// RegionShare is the share of an entry's requests for which a region is
	// the first choice.
	RegionShare struct {
		// Region is the region's name.
		Region id.Region
		// Share is between 0 and 1; all shares sum to 1.
		Share float64
	}

	// Steer splits the requests of one service at one entry among regions.
	Steer struct {
		regions []Region
		tier    []int
		keep    []float64
		changed []time.Time
	}
)

// NewSteer returns a Steer in which the nearest tier keeps all requests.
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

// Regions returns the regions that a service allows, with their delays from a
// zone.
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

// Step adjusts the split to the regions' loads, each a share of the region's
// slots, and reports whether the split changed.
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

// Shares returns the share of each region, nearest region first.
func (s *Steer) Shares() []RegionShare {
	shares := make([]RegionShare, len(s.regions))
	flow := 1.0
	for i := 0; i < len(shares); {
		end, weights, kept := s.tierFrom(i)
		whole := weights
		if end == len(shares) {
			whole = kept // the last tier has no next tier
		}
		rest := flow
		for k := i; k < end; k++ {
			shares[k] = RegionShare{Region: s.regions[k].Name, Share: flow * s.weight(k) * s.keep[k] / whole}
			rest -= shares[k].Share
		}
		flow, i = max(rest, 0), end
	}
	return shares
}

// tierFrom returns the end of the tier that starts at i, the sum of its weights,
// and the sum of its weights multiplied by the kept fractions.
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
	load, ok := readLoad(now, value)
	if !ok || !s.stepsObserved(now, i, value) {
		return s.keep[i]
	}
	wanted := 1.0
	if load > 0 {
		wanted = min(s.keep[i]*targetLoad/load, 1)
	}
	switch {
	case load > HighLoad && s.overflowHasCapacity(now, i, loads):
		return max(wanted, s.keep[i]-stepDown, minKeep)
	case load < LowLoad:
		return min(wanted, s.keep[i]+stepUp)
	default:
		return s.keep[i]
	}
}

// stepsObserved reports whether a value was measured after the last steps of all
// regions in the same and nearer tiers took effect.
func (s *Steer) stepsObserved(now time.Time, i int, value measured.Value[float64]) bool {
	age, _ := value.Age(now)
	taken := now.Add(-age)
	for k := range s.regions {
		if s.tier[k] <= s.tier[i] && taken.Before(s.changed[k].Add(settleTime)) {
			return false
		}
	}
	return true
}

// overflowHasCapacity reports whether a region that would get the overflow of
// region i has capacity: one of a later tier, or, if region i is in the last
// tier, another region of that tier.
func (s *Steer) overflowHasCapacity(now time.Time, i int, loads map[id.Region]measured.Value[float64]) bool {
	last := s.tier[len(s.tier)-1]
	for k := range s.regions {
		if k == i || s.tier[k] < s.tier[i] || (s.tier[k] == s.tier[i] && s.tier[k] < last) {
			continue
		}
		if load, ok := readLoad(now, loads[s.regions[k].Name]); ok && load < HighLoad {
			return true
		}
	}
	return false
}

func readLoad(now time.Time, v measured.Value[float64]) (float64, bool) {
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
