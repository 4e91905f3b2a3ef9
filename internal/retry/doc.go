// Package retry decides whether the system may retry a request on its own.
//
// [Allowed] reports whether a retry is safe and in time: the request provably did not
// run, or it is of a kind that may run twice; there are attempts left; and enough
// time remains until its deadline. A [Budget] limits the retries of a service to a
// share of its first sends over the last seconds, so that retries don't multiply the
// load on failing servers; a few retries are always allowed. Both must permit a retry.
//
// # Usage
//
//	budget.CountFirst(now)
//	// after a failed send
//	if retry.Allowed(try, now) && budget.Take(now, file.Retry.Budget) {
//		// retry
//	}
package retry
