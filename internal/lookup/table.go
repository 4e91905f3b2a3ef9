package lookup

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gaissmai/bart"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// MaxChoices is the maximum number of choices in an answer.
	MaxChoices = 16
	// DefaultValidity is how long a caller may use an answer of a table with
	// no validity set.
	DefaultValidity = 10 * time.Second
	// doubtfulTier is added to the tier of doubtful choices, so that they
	// follow all live ones.
	doubtfulTier = 128
)

type (
	// Site is an entry instance that callers may be directed to.
	Site struct {
		// Instance is the entry's name, unique in a table.
		Instance id.Instance
		// Zone is its availability zone.
		Zone id.Zone
		// Region is the region of that zone.
		Region id.Region
		// Caller is the address of its callers' listener.
		Caller netip.AddrPort
	}

	// Choice is one item of a route.
	Choice struct {
		// Site is the site's index in the table.
		Site uint32
		// Weight is the choice's relative weight in its tier, above 0.
		Weight uint16
		// Tier orders the choices; a lower tier is used first. Routes have
		// tiers below 128; answers add 128 to the tier of doubtful choices.
		Tier uint8
	}

	// Block assigns a route to the callers of a client block.
	Block struct {
		// Prefix contains the callers' addresses.
		Prefix netip.Prefix
		// Route is ordered by tier.
		Route []Choice
	}

	// Table is an immutable lookup table, safe for concurrent use.
	Table struct {
		sites    []Site
		states   []State
		blocks   *bart.Table[[]Choice]
		fallback []Choice
		validity time.Duration
	}
)

// Lookup appends the choices for a caller to dst and returns the result: at
// most MaxChoices, live ones before doubtful ones, each by tier. It appends
// nothing only if neither the route of the caller's block nor the default route
// has a live or doubtful site. It does not allocate if dst has capacity for
// MaxChoices more.
func (t *Table) Lookup(caller netip.Addr, dst []Choice) []Choice {
	start := len(dst)
	if r, ok := t.blocks.Lookup(caller.Unmap()); ok {
		if dst = t.appendUsable(dst, r); len(dst) > start {
			return dst
		}
	}
	return t.appendUsable(dst, t.fallback)
}

// Site returns the site with the index of a choice. It must not be modified.
func (t *Table) Site(i uint32) *Site { return &t.sites[i] }

// State returns the state of the site with the index of a choice.
func (t *Table) State(i uint32) State { return t.states[i] }

// Find returns the index of the named site.
func (t *Table) Find(name id.Instance) (uint32, bool) {
	i := slices.IndexFunc(t.sites, func(s Site) bool { return s.Instance == name })
	return uint32(max(i, 0)), i >= 0
}

// Blocks returns the number of client blocks.
func (t *Table) Blocks() int { return t.blocks.Size() }

// Validity returns how long a caller may use an answer. An entry that shuts
// down must accept requests for this long after it was last in an answer.
func (t *Table) Validity() time.Duration { return t.validity }

// WithState returns a copy of the table with the state of one site replaced.
func (t *Table) WithState(site uint32, state State) *Table {
	next := *t
	next.states = slices.Clone(t.states)
	next.states[site] = state
	return &next
}

// WithSite returns a copy of the table with one site and its state replaced, as
// when a new instance replaces a failed one.
func (t *Table) WithSite(i uint32, site Site, state State) *Table {
	next := t.WithState(i, state)
	next.sites = slices.Clone(t.sites)
	next.sites[i] = site
	return next
}

// WithBlock returns a copy of the table with one client block added or
// replaced.
func (t *Table) WithBlock(b Block) (*Table, error) {
	if err := checkBlock(b, len(t.sites)); err != nil {
		return nil, err
	}
	next := *t
	next.blocks = t.blocks.InsertPersist(b.Prefix.Masked(), slices.Clone(b.Route))
	return &next, nil
}

// WithoutBlock returns a copy of the table without the client block.
func (t *Table) WithoutBlock(prefix netip.Prefix) *Table {
	next := *t
	next.blocks = t.blocks.DeletePersist(prefix.Masked())
	return &next
}

func (t *Table) appendUsable(dst []Choice, r []Choice) []Choice {
	end := len(dst) + MaxChoices
	doubtful := false
	for _, c := range r {
		switch t.states[c.Site] {
		case Live:
			if len(dst) == end {
				return dst
			}
			dst = append(dst, c)
		case Doubtful:
			doubtful = true
		}
	}
	if doubtful {
		return t.appendDoubtful(dst, r, end)
	}
	return dst
}

func (t *Table) appendDoubtful(dst []Choice, r []Choice, end int) []Choice {
	for _, c := range r {
		if t.states[c.Site] == Doubtful && len(dst) < end {
			c.Tier += doubtfulTier
			dst = append(dst, c)
		}
	}
	return dst
}

func checkBlock(b Block, sites int) error {
	if !b.Prefix.IsValid() {
		return eris.New("client block without a prefix")
	}
	if err := checkRoute(b.Route, sites); err != nil {
		return eris.Wrapf(err, "client block %s", b.Prefix)
	}
	return nil
}

func checkRoute(r []Choice, sites int) error {
	if len(r) == 0 {
		return eris.New("route without choices")
	}
	for i, c := range r {
		switch {
		case int(c.Site) >= sites:
			return eris.Errorf("choice %d: no site %d", i, c.Site)
		case c.Weight == 0:
			return eris.Errorf("choice %d: weight must be above 0", i)
		case c.Tier >= doubtfulTier:
			return eris.Errorf("choice %d: tier must be below %d", i, doubtfulTier)
		case i > 0 && c.Tier < r[i-1].Tier:
			return eris.Errorf("choice %d: tiers must not decrease", i)
		}
	}
	return nil
}
