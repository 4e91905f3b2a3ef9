// Package holder does an entry's accounting of the slots that the home entry of
// a bucket has granted it.
//
// Requests take slots from the gates of a [Holder] without a call to the home.
// The Holder only changes the gates' limits and their common end. The end is
// Lifetime after the entry sent the last report that the home has answered, or
// after it began the last read of the store that showed the home's term
// unchanged. After the end no request gets a slot; running requests keep theirs.
//
// The Holder never counts more slots than its home does: it adds slots only
// after the home has granted them, and subtracts returned slots before it
// reports the return. Only idle slots are returned.
//
// When the term changes, the slots held from the old term become the Holder's
// claim on the new home. They expire at the same time as before, until the home
// has accepted the claim.
//
// # Usage
//
//	h := holder.Holder{Bucket: bucket, Lifetime: 2 * time.Second, Gate: gateOf}
//	h.SetTerm(term, now)
//	report := h.Report(now, want, waiting)
//	grant := send(report)
//	raised := h.Grant(&grant, now)
package holder
