// Package local permits sends within a fixed part of each backend server's
// slots.
//
// An [Admitter] divides the slots by split.Share over the fixed list of
// entries. It needs no other entry and no store, and never moves a slot: what
// one entry leaves unused no other can use, and the part of a lost entry stays
// unused. It is the baseline of the slot shares, and what a deployment of one
// entry needs.
//
// # Usage
//
//	a := local.Admitter{Entries: len(deployment.Entries), Index: self}
//	a.Pool.Order, a.Pool.MaxWaiting = placement.Order, 1000
//	a.Configure(files)
//	permit, err := a.Admit(ctx, &req)
package local
