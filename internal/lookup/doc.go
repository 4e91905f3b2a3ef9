// Package lookup selects the entries that a caller should use.
//
// A [Table] maps client blocks, by longest matching prefix, to routes. A route
// is an ordered list of choices: a caller distributes its requests over the
// choices of the lowest tier by weight, and uses the next tier only when those
// fail. A caller in no block gets the default route: all sites, those in the
// answering entry's region first, since a caller at an unknown location most
// likely asked the entry nearest to it.
//
// A table is immutable. Its user keeps it behind an atomic pointer and replaces
// it by a modified copy made by [Table.WithState], [Table.WithSite],
// [Table.WithBlock] or [Table.WithoutBlock]; a copy shares all unchanged data.
// Concurrent lookups finish on the table with which they began.
//
// A site that is [Leaving] or [Down] is in no answer. A site whose state is
// unknown, because it is missing, stale or from the future, is [Doubtful]: it
// is listed after all live sites of the same route, so that answers don't
// become empty when the source of the states fails. If no choice of a block's
// route is live or doubtful, the default route is used.
//
// # Usage
//
//	b := lookup.Near(d, "tbilisi-core", states)
//	t, err := b.Build()
//	if err != nil {
//		return err
//	}
//	table.Store(t) // an atomic.Pointer[lookup.Table]
//
//	buf = table.Load().Lookup(caller, buf[:0])
//	for _, c := range buf {
//		use(t.Site(c.Site), c.Tier, c.Weight)
//	}
package lookup
