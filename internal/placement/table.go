package placement

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// maxZones is the maximum number of zones of a region that a Table
	// distinguishes; servers of further zones are added to the last one.
	maxZones = 64
	// warm is the scaled ramp of a server that isn't in slow start.
	warm = ^uint32(0)
)

type (
	// Member is a backend server that is currently eligible.
	Member struct {
		// Server is the server. Leaving servers are left out of a table.
		Server *service.Server
		// Region is the region of the server's zone.
		Region id.Region
		// Delay is the one-way delay from the entry.
		Delay time.Duration
		// Ramp is the fraction of requests, 0 to 1, for which the server may
		// precede the warm servers of its region; 1 if it is warm itself.
		Ramp float64
	}

	// Table orders servers for requests. It is immutable and safe for
	// concurrent use.
	Table struct {
		regions []region
	}

	region struct {
		name  id.Region
		limit uint32 // cumulative share, scaled to 1<<32
		zones []zone
		cold  bool // has members in slow start
	}

	zone struct {
		members []member
	}

	member struct {
		server *service.Server
		ramp   uint32
	}
)

// NewTable returns a table over the members of the regions in shares. Members
// of other regions and leaving servers are left out.
func NewTable(shares []RegionShare, members []Member) *Table {
	t := &Table{regions: make([]region, 0, len(shares))}
	sum := 0.0
	for _, p := range shares {
		if p.Share > 0 {
			sum += p.Share
		}
		r := region{name: p.Region, limit: scale(sum), zones: zonesOf(p.Region, members)}
		for _, m := range members {
			r.cold = r.cold || (m.Region == p.Region && scale(m.Ramp) != warm)
		}
		t.regions = append(t.regions, r)
	}
	return t
}

// Order appends the servers for a request to dst, most preferred first. draw is
// a uniformly distributed random number; equal draws give equal orders. Order
// does not allocate if dst has capacity for all servers.
func (t *Table) Order(draw uint64, tried []id.Server, dst []*service.Server) []*service.Server {
	first := t.first(uint32(draw))
	rotation := uint32(draw >> 32)
	if first < len(t.regions) {
		dst = t.regions[first].appendTo(dst, rotation, tried)
	}
	for i := range t.regions {
		if i != first {
			dst = t.regions[i].appendTo(dst, rotation, tried)
		}
	}
	return dst
}

// first returns the index of the region that draw selects. If that region has no
// servers, the next one in the order of the shares is selected, else the nearest.
func (t *Table) first(draw uint32) int {
	for i := range t.regions {
		if draw < t.regions[i].limit && len(t.regions[i].zones) > 0 {
			return i
		}
	}
	return 0
}

// appendTo appends the region's servers. Servers held back by their ramp come
// after all others, and zones with a tried server after those without.
func (r *region) appendTo(dst []*service.Server, rotation uint32, tried []id.Server) []*service.Server {
	triedZones := uint64(0)
	if len(tried) > 0 {
		for i := range r.zones {
			if r.zones[i].contains(tried) {
				triedZones |= 1 << i
			}
		}
	}
	for _, held := range [2]bool{false, true} {
		if held && !r.cold {
			break
		}
		for i := range r.zones {
			if triedZones&(1<<i) == 0 {
				dst = r.zones[i].appendTo(dst, rotation, nil, held)
			}
		}
		for rest := triedZones; rest != 0; rest &= rest - 1 {
			dst = r.zones[bits.TrailingZeros64(rest)].appendTo(dst, rotation, tried, held)
		}
	}
	return dst
}

// appendTo appends the members that are held back by their ramp, or, if held is
// false, those that are not, in round-robin order starting at a member chosen by
// rotation.
func (z *zone) appendTo(dst []*service.Server, rotation uint32, tried []id.Server, held bool) []*service.Server {
	n := uint32(len(z.members))
	start := uint32(uint64(rotation) * uint64(n) >> 32)
	for k := range n {
		m := &z.members[(start+k)%n]
		if m.heldBack(rotation) == held && !slices.Contains(tried, m.server.Name) {
			dst = append(dst, m.server)
		}
	}
	return dst
}

// heldBack reports whether the member's ramp holds it back for a given rotation.
func (m *member) heldBack(rotation uint32) bool {
	const multiplier = 2654435769 // 1<<32 over the golden ratio
	return m.ramp != warm && rotation*multiplier >= m.ramp
}

func (z *zone) contains(names []id.Server) bool {
	for i := range z.members {
		if slices.Contains(names, z.members[i].server.Name) {
			return true
		}
	}
	return false
}

func zonesOf(name id.Region, members []Member) []zone {
	var in []Member
	for _, m := range members {
		if m.Region == name && m.Server != nil && !m.Server.Leaving {
			in = append(in, m)
		}
	}
	slices.SortStableFunc(in, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Delay, b.Delay), cmp.Compare(a.Server.Zone, b.Server.Zone))
	})
	var zones []zone
	for i, m := range in {
		if i == 0 || (m.Server.Zone != in[i-1].Server.Zone && len(zones) < maxZones) {
			zones = append(zones, zone{})
		}
		last := &zones[len(zones)-1]
		last.members = append(last.members, member{server: m.Server, ramp: scale(m.Ramp)})
	}
	return zones
}

// scale maps the range 0 to 1 to all values of a uint32. NaN counts as 0.
func scale(x float64) uint32 {
	switch {
	case !(x > 0):
		return 0
	case x >= 1-1e-9:
		return warm
	default:
		return uint32(x * (1 << 32))
	}
}
