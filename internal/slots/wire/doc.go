// Package wire holds the two messages by which a holder and a home of slots
// keep their books together.
//
// A holder sends a [Report], the home answers with a [Grant]. The home may
// also send a Grant on its own, which the holder answers with a Report. Both
// messages state totals that only rise within a lease term, never changes:
// slots given so far, slots returned so far. Receiving one twice, late or out
// of order does nothing, and what a lost message said the next one says again.
//
// # Usage
//
//	var grant wire.Grant
//	err := caller.Call(ctx, home, wire.MethodReport, report, &grant)
package wire
