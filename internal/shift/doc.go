// Package shift limits how fast the request rate of all entries toward a region
// may rise.
//
// Each request that an entry admits toward the region's backend servers counts,
// including retries, at the time of admission. The cap holds if for every time t
// and the window length W of the service file
//
//	admitted in (t, t+W]  <=  admitted in (t-W, t]  +  rise * W
//
// so that the rise is the difference between the mean rates of two adjacent
// windows.
//
// Each entry has a share of the rise and a [Gate] that enforces the same
// inequality for the entry's own admissions and share. Both sides are sums over
// the entries, so the inequality holds for all entries together if the shares
// that are active at t sum to at most the rise. It doesn't depend on information
// about the admissions of other entries, so delayed or lost messages, failed
// entries and callers that use cached lookups can't violate the cap.
//
// A share applies to the windows that start while it is active. A lower share
// applies immediately, a higher one from the next bucket of the window.
//
// Shares come from [github.com/shallotpier/shallotpier/internal/share]: each
// entry has a floor, and grants that expire at the entry assign the remainder to
// the entries that refuse requests.
//
// # Usage
//
//	rise := file.ShiftCap.Rise
//	floor := unit.Rate(share.Floor(entries)) * rise
//	gate := shift.NewGate(file.ShiftCap.Window.Std(), floor, now, reservedSince)
//	if ok, retryAfter := gate.Admit(now); !ok {
//		return refused(result.ShiftCapped, retryAfter)
//	}
//
//	// on the response to the entry's latest request for a share
//	gate.Grant(now, unit.Rate(grant.Share)*rise, requestSent.Add(share.GrantTime))
package shift
