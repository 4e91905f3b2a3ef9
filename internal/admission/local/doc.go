// Package local admits requests within a static share of each backend server's
// slots.
//
// An [Admitter] divides the slots with split.Share among the configured
// entries. It communicates with neither other entries nor the store and never
// moves a slot: slots that one entry leaves unused are not available to
// another, and the share of a failed entry stays unused. It serves as the
// baseline for dynamic slot allocation and for deployments of a single entry.
//
// # Usage
//
//	a := local.Admitter{Entries: len(deployment.Entries), Index: self}
//	a.Pool.Order, a.Pool.MaxWaiting = placement.Order, 1000
//	a.Configure(files)
//	permit, err := a.Admit(ctx, &req)
package local
