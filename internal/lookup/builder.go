package lookup

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/gaissmai/bart"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Builder builds a Table. Its fields may be changed between builds without
// affecting tables built before.
type Builder struct {
	// Sites lists the sites; a choice refers to a site by its index here.
	Sites []Site
	// States holds the state of each site; a site beyond its end is doubtful.
	States []State
	// Blocks lists the client blocks.
	Blocks []Block
	// Default is the route of callers in no block.
	Default []Choice
	// Validity is how long answers may be used; 0 means DefaultValidity.
	Validity time.Duration
}

// Near returns a builder for a deployment without client blocks. Its default
// route contains the sites in the region from in tier 0, and those in the other
// regions by increasing delay in the following tiers. Entries missing from
// states are doubtful.
func Near(d *deployment.Deployment, from id.Region, states map[id.Instance]State) *Builder {
	b := new(Builder)
	for _, e := range d.Entries {
		region, _ := d.Region(e.Zone)
		b.Sites = append(b.Sites, Site{Instance: e.Name, Zone: e.Zone, Region: region, Caller: e.Caller})
		b.States = append(b.States, states[e.Name])
	}
	b.Default = nearest(b.Sites, func(s *Site) time.Duration {
		if s.Region == from {
			return 0
		}
		return d.Delays.Regions.Std()
	})
	return b
}

// Build validates the builder's fields and returns the table.
func (b *Builder) Build() (*Table, error) {
	if len(b.Sites) == 0 || len(b.States) > len(b.Sites) {
		return nil, eris.Errorf("%d sites and %d states, want at least one site and at most one state per site", len(b.Sites), len(b.States))
	}
	if err := checkRoute(b.Default, len(b.Sites)); err != nil {
		return nil, eris.Wrap(err, "default route")
	}
	t := &Table{
		sites:    slices.Clone(b.Sites),
		states:   make([]State, len(b.Sites)),
		blocks:   new(bart.Table[[]Choice]),
		fallback: slices.Clone(b.Default),
		validity: cmp.Or(b.Validity, DefaultValidity),
	}
	copy(t.states, b.States)
	known := make(map[string][]Choice)
	var key []byte
	for _, block := range b.Blocks {
		if err := checkBlock(block, len(b.Sites)); err != nil {
			return nil, err
		}
		var r []Choice
		r, key = intern(known, key, block.Route)
		t.blocks.Insert(block.Prefix.Masked(), r)
	}
	return t, nil
}

// intern returns the same route for all equal lists of choices, to save memory.
// It reuses key as a buffer.
func intern(known map[string][]Choice, key []byte, choices []Choice) (route []Choice, nextKey []byte) {
	key = key[:0]
	for _, c := range choices {
		key = binary.LittleEndian.AppendUint32(key, c.Site)
		key = binary.LittleEndian.AppendUint16(key, c.Weight)
		key = append(key, c.Tier)
	}
	if r, ok := known[string(key)]; ok {
		return r, key
	}
	r := slices.Clone(choices)
	known[string(key)] = r
	return r, key
}

// nearest returns all sites with equal weights and one tier for each distinct
// distance.
func nearest(sites []Site, distance func(*Site) time.Duration) []Choice {
	order := make([]uint32, len(sites))
	for i := range order {
		order[i] = uint32(i)
	}
	slices.SortStableFunc(order, func(a, b uint32) int {
		return cmp.Compare(distance(&sites[a]), distance(&sites[b]))
	})
	choices := make([]Choice, len(order))
	tier := uint8(0)
	for i, s := range order {
		if i > 0 && distance(&sites[s]) > distance(&sites[order[i-1]]) && tier < doubtfulTier-1 {
			tier++
		}
		choices[i] = Choice{Site: s, Weight: 1, Tier: tier}
	}
	return choices
}
