package dispatch

import (
	"slices"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Allows reports whether the request may run in a region. The restrictions of the route, of
// the organisation and of the entry that passed the request on all apply.
func (r *Request) Allows(region id.Region) bool {
	return r.Route.Allows(region) && r.Organisation.Allows(region) && (len(r.Regions) == 0 || slices.Contains(r.Regions, region))
}

// AllowedRegions returns the regions where the request may run, nil if it may run in all.
// The result must not be modified.
func (r *Request) AllowedRegions() []id.Region {
	lists := [][]id.Region{r.Route.Regions, r.Regions}
	if r.Organisation != nil {
		lists = append(lists, r.Organisation.Regions)
	}
	for _, list := range lists {
		if len(list) > 0 {
			return slices.DeleteFunc(slices.Clone(list), func(region id.Region) bool { return !r.Allows(region) })
		}
	}
	return nil
}

// Restricted reports whether there are regions where the request may not run.
func (r *Request) Restricted() bool {
	return len(r.Route.Regions) > 0 || len(r.Regions) > 0 || r.Organisation != nil && len(r.Organisation.Regions) > 0
}

// Priority returns the request's priority class, 0 for the most urgent. That of the
// organisation takes precedence over that of the route.
func (r *Request) Priority() int {
	if r.Organisation != nil && r.Organisation.Priority != nil {
		return *r.Organisation.Priority
	}
	return r.Route.Priority
}

// HasRegion reports whether the service has a server in a region that the request allows,
// usable or not.
func (d *Dispatcher) HasRegion(req *Request) bool {
	return slices.ContainsFunc(d.Roster.View().Members(req.Service), func(m *roster.Member) bool { return req.Allows(m.Region) })
}
