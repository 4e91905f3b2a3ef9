// Package steered permits sends within the cap on a shift and the links'
// budgets, on top of the slots.
//
// An [Admitter] first gets a slot, on the server that placement and the free
// slots choose, and then charges what that choice costs: the cap of the
// server's region, and, if the region is another than the entry's own, the
// link's budget. If a charge is refused, the slot is given back, the region is
// left out, and the next one is tried. A request that no region takes is
// refused at once, with the reason of the first region that refused it and its
// time to come back.
//
// Charging after the slot is safe: what was charged is never given back, so
// the cap counts at least what was sent.
//
// A permit for a body that crosses a link is a [admission.Paced]: the sender
// asks it how much may go now.
//
// # Usage
//
//	a := &steered.Admitter{Inner: slots, Self: "tbilisi-core", Region: world.Region, Caps: caps, Links: links}
//	p, err := a.Admit(ctx, req)
package steered
