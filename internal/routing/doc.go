// Package routing keeps, for one entry, what the decisions on backend servers
// need from one request to the next, and serves their results to the request
// path.
//
// A [Router] has an opinion (package health), a slow start (package ramp) and
// the last probe and load report for each server, and a split among regions
// (package placement) for each service. [Router.Step] moves them on and makes a
// new table if anything changed. [Router.Order] is what requests read: it takes
// no lock, and doesn't allocate for a request that was not sent before.
//
// A Router is also an admission.Admitter on top of the slots. It looks once
// more at the server that a permit is for, since the permit may have been
// waited for: a server that is leaving by now, or out, gives its slot back and
// another is asked for. What a send met goes to the opinion and the slow start.
//
// # Usage
//
//	r := &routing.Router{World: d, Zone: zone, Inner: slots}
//	slots.Pool.Order = r.Order
//	r.Configure(files, now) // at each configuration and notice
//	p, err := r.Admit(ctx, req)
//
//	r.SetProbe("registry", "a-1", measured.At(ok, sent))
//	r.SetReport("registry", "a-1", measured.At(report, sent))
//	r.Step(now, loads) // some times a second
package routing
