// Package lookup answers which entries a caller should use.
//
// A [Table] maps client blocks, by longest matching prefix, to routes. A route
// is an ordered list of choices: a caller uses the choices of the lowest tier,
// shared out by weight, and the next tier only when those fail. A caller in no
// block gets the default route: all sites, those of the answering entry's own
// region first, since a caller of unknown place most likely asked the entry
// nearest to it.
//
// A table is immutable. Its owner keeps it behind an atomic pointer and
// publishes a changed copy made by [Table.WithState], [Table.WithSite],
// [Table.WithBlock] or [Table.WithoutBlock]; a copy shares all that did not
// change. Look-ups that run meanwhile finish on the table that they began with.
//
// A site that is [Leaving] or [Down] is in no answer. A site whose state is
// unknown, because it is missing, stale or from the future, is [Doubtful]: it
// is listed after all live ones of the same route, so that the loss of the
// state's source empties no answer. When all choices of a block's route are
// out, the default route answers.
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
