// Package routing keeps, for one entry, what the decisions on backend servers
// need from one request to the next, and serves their results to the request
// path.
//
// A [Router] has an opinion (package health), a slow start (package ramp) and
// the last probe and load report for each server, and a split among regions
// (package placement) for each service. [Router.Tick] steps them and makes a
// new table if anything changed. [Router.Order] is what requests read: it takes
// no lock, and doesn't allocate for a request that was not sent before.
//
// [Admitter] stands between the request path and the slots. It looks once more
// at the server that a permit is for, since the permit may have been waited
// for: a server that is leaving by now, or out, gives its slot back and another
// is asked for. What a send met goes back to the opinion and the slow start.
//
// # Usage
//
//	r := routing.Router{World: d, Zone: zone, Draw: rand.Uint64}
//	r.Configure(now, files)   // at each configuration and notice
//	slots.Pool.Order = r.Order
//	admitter := &routing.Admitter{Router: &r, Inner: slots}
//
//	r.SetProbe("registry", "a-1", measured.At(ok, sent))
//	r.SetReport("registry", "a-1", measured.At(report, sent))
//	r.Tick(now) // some times a second
package routing
