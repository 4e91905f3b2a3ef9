// Package holder keeps an entry's books on the slots that the home of a
// bucket has granted it.
//
// Requests take slots from the gates of a [Holder] without asking anyone. The
// Holder only moves the gates' limits and their common end. The end is
// Lifetime after the entry sent the last report that the home has answered, or
// after it began the last read of the store that showed the home's term
// unchanged. Past it no request gets a slot; those that run keep theirs.
//
// The Holder never counts more slots than its home does: it adds what the
// home says it has given, and takes out what it returns before it says so.
// Only idle slots are returned.
//
// When the term changes, what the Holder has of the old one becomes its claim
// on the new home, and lives no longer than before until the home has accepted
// it.
//
// # Usage
//
//	h := holder.Holder{Bucket: bucket, Lifetime: 2 * time.Second, Gate: gateOf}
//	h.Adopt(term, now)
//	report := h.Report(now, want, waiting)
//	grant := send(report)
//	raised := h.Grant(&grant, now)
package holder
