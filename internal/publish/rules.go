package publish

import (
	"fmt"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	// Rules check a set of service files as a whole. The zero Rules check each
	// file by itself.
	Rules struct {
		// Region returns the region of an availability zone; nil skips the
		// checks of zones and regions.
		Region func(id.Zone) (id.Region, bool)
		// Entries is the number of entry instances; 0 skips the check that a
		// cap on a shift can be divided among them.
		Entries int
		// InUse returns the slots of a service that are in use in a region;
		// false means not known, and nil that none are known.
		InUse func(id.Service, id.Region) (slots int, known bool)
	}

	// Problem is a promise that a set of service files would break.
	Problem struct {
		// Service is the service whose file is at fault.
		Service id.Service `json:"service"`
		// Key is the dotted key at fault.
		Key string `json:"key"`
		// Text says what would break.
		Text string `json:"text"`
	}

	// capacity is a service's slots in a region.
	capacity struct{ all, staying int }
)

// String formats the problem as "service key: text".
func (p Problem) String() string { return fmt.Sprintf("%s %s: %s", p.Service, p.Key, p.Text) }

// Check returns all problems of the set.
func (r Rules) Check(files []service.File) []Problem {
	var problems []Problem
	seen := map[id.Service]bool{}
	for i := range files {
		f := &files[i]
		if seen[f.Service] {
			problems = append(problems, Problem{f.Service, "service", "two files are for this service"})
		}
		seen[f.Service] = true
		if p := f.Check(); p != nil {
			problems = append(problems, Problem{f.Service, p.Key, p.Text})
			continue
		}
		problems = append(problems, r.checkDrain(f)...)
		problems = append(problems, r.checkCap(f)...)
		problems = append(problems, r.checkRegions(f)...)
	}
	return problems
}

// checkDrain finds classes that may run longer than a leaving server keeps
// its work.
func (r Rules) checkDrain(f *service.File) []Problem {
	var problems []Problem
	for i := range f.Classes {
		if c := &f.Classes[i]; c.Deadline > f.DrainTime {
			problems = append(problems, Problem{f.Service, "drainTime", fmt.Sprintf(
				"%s is shorter than the deadline %s of class %s, so that a planned stop could cut a running request", f.DrainTime, c.Deadline, c.Name)})
		}
	}
	return problems
}

// checkCap finds caps that leave an entry less than one request in a window.
func (r Rules) checkCap(f *service.File) []Problem {
	requests := float64(f.ShiftCap.Rise) * f.ShiftCap.Window.Std().Seconds()
	if r.Entries == 0 || requests >= float64(r.Entries) {
		return nil
	}
	return []Problem{{f.Service, "shiftCap", fmt.Sprintf(
		"%g requests in a window of %s can't be divided among %d entries", requests, f.ShiftCap.Window, r.Entries)}}
}

func (r Rules) checkRegions(f *service.File) []Problem {
	if r.Region == nil {
		return nil
	}
	var problems []Problem
	regions := map[id.Region]capacity{}
	for i := range f.Servers {
		s := &f.Servers[i]
		region, ok := r.Region(s.Zone)
		if !ok {
			problems = append(problems, Problem{f.Service, "servers.zone", fmt.Sprintf("zone %s of server %s is in no region", s.Zone, s.Name)})
			continue
		}
		c := regions[region]
		c.all += s.Slots
		if !s.Leaving {
			c.staying += s.Slots
		}
		regions[region] = c
	}
	for _, allowed := range f.Regions {
		if text := r.short(f.Service, allowed, regions[allowed.Name]); text != "" {
			problems = append(problems, Problem{f.Service, "regions.headroomFloor", text})
		}
	}
	return problems
}

// short says why a region's capacity doesn't do, "" if it does.
func (r Rules) short(name id.Service, allowed service.Region, c capacity) string {
	if allowed.Weight > 0 && c.staying == 0 {
		return fmt.Sprintf("region %s has weight %d but no backend server that stays", allowed.Name, allowed.Weight)
	}
	floor := allowed.HeadroomFloor * float64(c.all)
	used, known := 0, false
	if r.InUse != nil {
		used, known = r.InUse(name, allowed.Name)
	}
	if free := float64(c.staying - used); free >= floor {
		return ""
	}
	measure := "none counted as in use"
	if known {
		measure = fmt.Sprintf("%d in use", used)
	}
	return fmt.Sprintf("region %s keeps %d of %d slots, %s, which is under the floor of %g free", allowed.Name, c.staying, c.all, measure, floor)
}
