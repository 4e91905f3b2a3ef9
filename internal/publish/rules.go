package publish

import (
	"fmt"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	// Rules validate a set of service files as a whole. The zero Rules check
	// each file on its own, and drain times against deadlines.
	Rules struct {
		// Region returns the region of an availability zone, and false if the
		// zone is unknown; nil skips the checks of zones and regions.
		Region func(id.Zone) (id.Region, bool)
		// Entries is the number of entry instances; 0 skips the check that a
		// shift cap allows at least one request for each of them.
		Entries int
		// InUse returns the number of slots of a service that are in use in a
		// region, and false if it is unknown; nil means unknown for all.
		InUse func(id.Service, id.Region) (slots int, known bool)
	}

	// Problem is a rule that a set of service files violates.
	Problem struct {
		// Service is the service whose file violates the rule.
		Service id.Service `json:"service"`
		// Key is the dotted key of the invalid value.
		Key string `json:"key"`
		// Text describes the violation, with the value and its bound.
		Text string `json:"text"`
	}

	// capacity counts a service's slots in a region: all of them, and those of
	// servers that are not marked as leaving.
	capacity struct{ total, remaining int }
)

// String formats the problem as "service key: text".
func (p Problem) String() string { return fmt.Sprintf("%s %s: %s", p.Service, p.Key, p.Text) }

// Check returns all problems of a set of service files.
func (r Rules) Check(files []service.File) []Problem {
	var problems []Problem
	seen := map[id.Service]bool{}
	for i := range files {
		f := &files[i]
		if seen[f.Service] {
			problems = append(problems, Problem{f.Service, "service", "two files configure this service"})
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

// checkDrain finds classes whose requests may run longer than the drain time of
// a leaving server.
func (r Rules) checkDrain(f *service.File) []Problem {
	var problems []Problem
	for i := range f.Classes {
		if c := &f.Classes[i]; c.Deadline > f.DrainTime {
			problems = append(problems, Problem{f.Service, "drainTime", fmt.Sprintf(
				"%s is shorter than the deadline %s of class %s; draining a server could cut off a running request", f.DrainTime, c.Deadline, c.Name)})
		}
	}
	return problems
}

// checkCap finds shift caps that allow less than one request per entry in a
// window.
func (r Rules) checkCap(f *service.File) []Problem {
	requests := float64(f.ShiftCap.Rise) * f.ShiftCap.Window.Std().Seconds()
	if r.Entries == 0 || requests >= float64(r.Entries) {
		return nil
	}
	return []Problem{{f.Service, "shiftCap", fmt.Sprintf(
		"%g requests in a window of %s are too few for %d entries; at least one for each entry is needed", requests, f.ShiftCap.Window, r.Entries)}}
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
			problems = append(problems, Problem{f.Service, "servers.zone", fmt.Sprintf("zone %q of backend server %s is not in the deployment", s.Zone, s.Name)})
			continue
		}
		c := regions[region]
		c.total += s.Slots
		if !s.Leaving {
			c.remaining += s.Slots
		}
		regions[region] = c
	}
	for _, allowed := range f.Regions {
		if text := r.shortfall(f.Service, allowed, regions[allowed.Name]); text != "" {
			problems = append(problems, Problem{f.Service, "regions.headroomFloor", text})
		}
	}
	return problems
}

// shortfall describes why a region's capacity is insufficient; it returns "" if
// the capacity is sufficient.
func (r Rules) shortfall(name id.Service, allowed service.Region, c capacity) string {
	if allowed.Weight > 0 && c.remaining == 0 {
		return fmt.Sprintf("region %s has weight %d, but all its backend servers are leaving or it has none", allowed.Name, allowed.Weight)
	}
	floor := allowed.HeadroomFloor * float64(c.total)
	used, known := 0, false
	if r.InUse != nil {
		used, known = r.InUse(name, allowed.Name)
	}
	if free := float64(c.remaining - used); free >= floor {
		return ""
	}
	usage := "usage unknown, counted as 0"
	if known {
		usage = fmt.Sprintf("%d in use", used)
	}
	return fmt.Sprintf("region %s keeps %d of %d slots (%s), but %g must stay free", allowed.Name, c.remaining, c.total, usage, floor)
}
