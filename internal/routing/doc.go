// Package routing maintains the state of one entry for the selection of backend
// servers and provides the resulting server order to the request path.
//
// A [Router] keeps the health state (package health), the slow start (package
// ramp), and the last probe result and load report of each server, and the split
// among regions (package placement) of each service. [Router.Step] updates them
// and rebuilds the table if anything changed. [Router.Order] serves the request
// path: it takes no lock, and doesn't allocate for the first attempt of a
// request.
//
// A Router is also an admission.Admitter on top of the slots. It checks the
// server of each permit again, since the request may have waited for the permit:
// if the server is leaving or unhealthy by then, the slot is released and
// another permit is requested. The outcome of each attempt updates the health
// state and the slow start of the server.
//
// # Usage
//
//	r := &routing.Router{Deployment: d, Zone: zone, Inner: slots}
//	slots.Pool.Order = r.Order
//	r.Configure(files, now) // on each change of configuration or notices
//	p, err := r.Admit(ctx, req)
//
//	r.SetProbe("registry", "a-1", measured.At(ok, sent))
//	r.SetReport("registry", "a-1", measured.At(report, sent))
//	r.Step(now, loads) // several times per second
package routing
