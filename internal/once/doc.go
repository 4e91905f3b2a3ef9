// Package once provides at-most-once execution of requests by tickets, which are
// idempotency keys issued by an entry.
//
// A [Registry] belongs to one incarnation of one entry instance. It issues tickets
// that only this registry may execute, each at most once, and keeps in memory which
// ones it has executed. It uses no store: only this memory records the execution of
// a ticket, so the outcome is unknown once the process has ended. An entry that
// receives a ticket of another instance forwards the request there. It refuses a
// ticket of an earlier incarnation of its own instance as unknown.
//
// A ticket is bound to the first request that uses it, by [Binding]. A retry of the
// same request waits while the request is running; afterwards it gets the stored
// answer. If the request provably did not run, its ticket may be used again.
//
// Times are ages of the incarnation, on a monotonic clock, so that a change of the
// wall clock can't make an expired ticket valid again.
//
// # Usage
//
//	r := &once.Registry{Instance: "entry-1", Incarnation: 7, Key: key}
//	ticket := r.Issue(age, "registry")
//	use := r.Begin(age, "registry", ticket, binding)
//	switch use.State {
//	case once.Run:
//		answer, code := execute()
//		r.End(use, code, answer)
//	case once.Running:
//		<-use.Done
//	}
package once
