package admitorder

import (
	"cmp"
	"slices"
	"strings"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// maxAbove limits the organisations in a State.
	maxAbove = 20
	// minAbove is the fraction of an organisation's requests above its share from which it
	// is listed.
	minAbove = 0.05
)

type (
	// State is who gets the capacity of a service at this entry.
	State struct {
		// Service is the service's name.
		Service id.Service
		// Refused is the fraction of the recent requests that were refused.
		Refused float64
		// Groups are the groups of requests with recent demand, those refused first at the
		// end.
		Groups []Group
		// Above are the organisations with most requests above their share, up to a maximum.
		Above []Organisation
	}

	// Group is the requests of a class that are within or above their shares.
	Group struct {
		Class Class
		Share Share
		// Demand is their recent rate in requests a second.
		Demand float64
		// Served is the fraction of them that is served at present, by their places.
		Served float64
	}

	// Organisation is one whose requests are partly above its share of a class.
	Organisation struct {
		Name  id.Organisation
		Class Class
		// Demand and Usual are the recent and the usual rate in requests a second, and
		// Above the fraction of the requests that is above the share.
		Demand, Usual, Above float64
	}
)

// States returns who gets the capacity of each service, sorted by name.
func (o *Order) States() []State {
	all := o.services.Load()
	if all == nil {
		return nil
	}
	out := make([]State, 0, len(*all))
	for svc, rec := range *all {
		s := rec.state()
		s.Service = svc
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b State) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return out
}

func (r *record) state() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := State{Refused: 1 - r.servedFraction()}
	p, known := r.parts.Load(), *r.known.Load()
	if p == nil {
		return s
	}
	for i := range p.classes {
		d, c := &r.demands[i], &p.classes[i]
		s.add(p, c, Group{Class: known[i], Share: Within, Demand: d.recent - d.beyond}, c.within)
		s.add(p, c, Group{Class: known[i], Share: Above, Demand: d.beyond}, c.above)
	}
	slices.SortFunc(s.Groups, func(a, b Group) int {
		return cmp.Or(-strings.Compare(string(a.Share), string(b.Share)), a.Class.compare(&b.Class), strings.Compare(string(a.Class.Kind), string(b.Class.Kind)))
	})
	s.Above = r.organisationsAbove(known)
	return s
}

func (s *State) add(p *parts, c *classParts, g Group, in part) {
	if g.Demand < 1/usualTime.Seconds() {
		return
	}
	g.Served = c.promoted*p.guaranteed.served(s.Refused) + (1-c.promoted)*in.served(s.Refused)
	s.Groups = append(s.Groups, g)
}

// served returns the fraction of a part that is beyond the place below which requests are refused.
func (p part) served(refused float64) float64 {
	if p.width <= 0 {
		return 1
	}
	return min(max((p.from+p.width-refused)/p.width, 0), 1)
}

func (r *record) organisationsAbove(known []Class) []Organisation {
	var out []Organisation
	for i := range r.shards {
		for key, c := range *r.shards[i].cells.Load() {
			demand := c.recent + c.repeats
			if above := c.recent*c.above() + c.repeats; above > demand*minAbove {
				out = append(out, Organisation{key.organisation, known[key.class], demand, c.usual, above / demand})
			}
		}
	}
	slices.SortFunc(out, func(a, b Organisation) int {
		return cmp.Or(cmp.Compare(b.Demand*b.Above, a.Demand*a.Above), strings.Compare(string(a.Name), string(b.Name)))
	})
	return out[:min(len(out), maxAbove)]
}
