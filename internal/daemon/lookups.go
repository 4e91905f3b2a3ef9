package daemon

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/internal/lookup"
	"github.com/shallotpier/shallotpier/pkg/id"
	wire "github.com/shallotpier/shallotpier/pkg/lookup"
)

// lookups answers lookups from an immutable table, which is replaced
// atomically.
type lookups struct {
	table atomic.Pointer[lookup.Table]
}

// Entries implements entry.Lookup.
func (l *lookups) Entries(_ id.Service, caller netip.Addr) ([]wire.Entry, time.Duration) {
	t := l.table.Load()
	if t == nil {
		return nil, 0
	}
	var buf [lookup.MaxChoices]lookup.Choice
	choices := t.Lookup(caller, buf[:0])
	out := make([]wire.Entry, 0, len(choices))
	for _, c := range choices {
		site := t.Site(c.Site)
		e := wire.Entry{Instance: site.Instance, Address: site.Caller}
		if c.Tier == choices[0].Tier {
			e.Weight = int(c.Weight)
		}
		out = append(out, e)
	}
	return out, t.Validity()
}
