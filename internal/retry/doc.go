// Package retry decides whether the system may send a request again by itself.
//
// [Allowed] says whether a resend is safe and in time: the request provably did
// not run, or it is of a kind that may run twice; there are sends left; and
// enough of its deadline remains. A [Budget] bounds the resends of a service as
// a share of its first sends over the last seconds, so that failing servers are
// not met by a multiple of the load; a few resends are always allowed. Both must agree.
//
// # Usage
//
//	budget.First(now)
//	// after a failed send
//	if retry.Allowed(try, now) && budget.Take(now, file.Retry.Budget) {
//		// send again
//	}
package retry
