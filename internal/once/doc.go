// Package once gives requests at-most-once execution.
//
// A [Registry] belongs to one incarnation of one entry instance. It mints
// tickets that only itself will ever execute, each once, and remembers in
// memory which it has. No store is asked: a ticket's execution is tied to the
// one memory that could know of it, and is unknown for good once that memory
// is gone. An entry that is asked to execute a ticket of another instance
// hands the request on; a ticket of an earlier incarnation of its own instance
// it refuses as unknown.
//
// A ticket is bound to the first request that uses it, by [Binding]. A resend
// of the same request while it runs waits for its end; later it gets the kept
// answer. A request that provably did not run gives its ticket free again.
//
// Time is that of the incarnation, counted from its start by a clock that only
// rises, so that a change of the wall clock can't bring a ticket back.
//
// # Usage
//
//	r := &once.Registry{Instance: "entry-1", Incarnation: 7, Key: key}
//	ticket := r.Mint(age, "registry")
//	use := r.Begin(age, "registry", ticket, binding)
//	switch use.State {
//	case once.Run:
//		answer, code := execute()
//		r.End(age, use, code, answer)
//	case once.Running:
//		<-use.Done
//	}
package once
