// Package ledger keeps the home's books on the slots of a bucket of backend
// servers.
//
// Each slot of a server is in one of three places: free at the home; granted
// to a holder, one process of an entry; or unknown, granted under an earlier
// lease term to someone who hasn't reported since. A [Ledger] moves slots
// between them so that they always sum to the server's slots. Free is never
// stored: it is what is left.
//
// A holder's grant is what the home has given so far less what the holder has
// returned so far. A grant that is lost on its way counts as granted, a return
// that is lost as not returned, until the next message repeats the totals.
//
// A home never takes a slot back by its own clock: a holder that it can't hear
// may still confirm the home's term in the store. To reclaim the slots of a
// silent holder the home raises its own term and calls [Ledger.Begin]. Then,
// as after a takeover by another home, all that was granted is unknown. What
// the holders claim leaves the unknown. The rest is free after Lifetime, for a
// holder may have confirmed the old term until then, and after Longest on top,
// for a request admitted at the last moment may run that long.
//
// The Ledger does nothing once its authority has passed. It has no clock: now
// is the time on the monotonic clock of the entry.
//
// # Usage
//
//	l := ledger.Ledger{Bucket: bucket, Lifetime: 2 * time.Second, Longest: file.Longest(), Silence: 2 * time.Second}
//	l.Configure(slots, now)
//	l.Begin(term, now)
//	l.SetAuthority(until)
//	grant, err := l.Report(from, &report, now)
//	for _, p := range l.Pushes() {
//		send(p.To, p.Grant)
//	}
package ledger
