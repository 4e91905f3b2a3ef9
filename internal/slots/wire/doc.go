// Package wire defines the two messages by which the holders and the home of a
// bucket keep their slot counts consistent.
//
// A holder sends a [Report], the home answers with a [Grant]. The home may also
// push a Grant, which the holder answers with a Report. Both messages contain
// totals that never decrease within a lease term, not differences: slots given so
// far and slots returned so far. A duplicated, delayed or reordered message
// therefore has no effect, and the message that follows a lost one repeats its
// content.
//
// # Usage
//
//	var grant wire.Grant
//	err := caller.Call(ctx, home, wire.MethodReport, report, &grant)
package wire
