// Package shift caps how fast the requests toward a region may rise, over all
// entries together.
//
// What is counted is each request that an entry admits toward the region's
// backend servers, resends included, at the time of admission. The cap holds
// when for every moment t, on any window length W of the service file,
//
//	admitted in (t, t+W]  <=  admitted in (t-W, t]  +  rise * W
//
// so a rise is the difference between the mean rates of two adjacent windows.
//
// Each entry has a share of the rise and a [Gate] that holds the same rule for
// the entry's own admissions with its own share. Both sides of the rule are
// sums over the entries, so the rule holds for all of them together whenever
// the shares in force at t sum to at most the rise. No entry needs to know
// what another admits, so late news, lost news, a dead entry and callers that
// use cached look-ups can't break the cap.
//
// A share counts for the windows that start while it is in force. A lower
// share counts at once; a higher one from the next bucket of the window on.
//
// Shares come from [github.com/shallotpier/shallotpier/internal/share]: each
// entry has a floor, and grants that run out at the entry move the rest to
// where requests are held back.
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
//	// when the answer to the entry's latest ask comes in
//	gate.Grant(now, unit.Rate(grant.Share)*rise, askSent.Add(share.GrantTime))
package shift
