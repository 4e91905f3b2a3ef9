// Package steering joins the opinions on backend servers, their slow start and
// the placement of requests into what an entry's request path asks.
//
// A [Steering] holds, for each service, an immutable placement table that
// [Steering.Order] reads without a lock, and for each backend server an opinion
// and a ramp. [Steering.Step] is called about once a second with the regions'
// loads; it moves ramps and region parts on and makes new tables.
//
// A Steering is also an admission.Admitter on top of the slots: a permit is
// only passed on if the server may be sent to at that moment, and what the
// send met goes into the opinion when the permit is released. A server that was
// out and answers its trial begins a slow start.
//
// # Usage
//
//	s := &steering.Steering{World: world, Zone: zone, Inner: slots}
//	s.Configure(files, now)
//	slots.Order = s.Order
//	p, err := s.Admit(ctx, req)
package steering
