// Package steered applies the shift caps and the link budgets on top of slot
// admission.
//
// An [Admitter] first acquires a slot on the server that results from placement
// and the free slots. It then charges the budget of the link, if the server's
// region differs from the entry's own, and the shift cap of the region. If
// either refuses, the slot is returned, the region is excluded and the next
// region is tried. A request that every region refuses is refused without
// waiting, with the code and the retry time of the first region that refused.
//
// Charging the cap after acquiring the slot is safe: a cap is never refunded, so
// that it counts at least the requests that were sent.
//
// A permit for a body that crosses a link implements [admission.Paced], which
// tells the sender how many bytes it may send now.
//
// # Usage
//
//	a := &steered.Admitter{Inner: slots, Self: "tbilisi-core", Region: d.Region, Caps: caps, Links: links}
//	p, err := a.Admit(ctx, req)
package steered
