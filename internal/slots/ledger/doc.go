// Package ledger does the accounting of the slots (concurrency limits) of one
// bucket of backend servers at the bucket's home entry.
//
// Each slot of a server is in one of three states: free at the home; granted
// to a holder, which is one process of an entry; or unknown, which means that
// it was granted in an earlier lease term to a holder that has not reported
// since. A [Ledger] moves slots between these states, and their sum is always
// the server's number of slots. The number of free slots is not stored but
// computed from the other two.
//
// A holder's grant is the total that the home has given minus the total that
// the holder has returned. If a message with a grant is lost, the slots count
// as granted; if a message with a return is lost, they count as not returned.
// The next message repeats the totals and corrects both sides.
//
// A home never reclaims a slot on the basis of its own clock, since a holder
// that it can't reach may still confirm the home's term in the store. To
// reclaim the slots of an unresponsive holder, the home raises its own term and
// calls [Ledger.Begin]. All granted slots are then unknown, as they are after
// another entry has taken over as home. Slots that holders claim are granted
// again. The rest becomes free after Lifetime, because a holder may have confirmed
// the old term until then, plus MaxRequestTime, because a request admitted at the
// last moment may run that long.
//
// A Ledger grants nothing once its authority (the lease on the bucket) has
// expired. It has no clock: now is the time on the entry's monotonic clock.
//
// # Usage
//
//	l := ledger.Ledger{Bucket: bucket, Lifetime: 2 * time.Second, MaxRequestTime: longest, ReportTimeout: 2 * time.Second}
//	l.Configure(slots, now)
//	l.Begin(term, now)
//	l.SetAuthority(until)
//	grant, err := l.Report(from, &report, now)
//	for _, p := range l.Pushes() {
//		send(p.To, p.Grant)
//	}
package ledger
