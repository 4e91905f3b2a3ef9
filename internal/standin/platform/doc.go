// Package platform stands in for the platform in tests and trials: its object
// store and its list of instances.
//
// A [Store] is a store.Store in memory and an http.Handler over the same
// objects. Faults are injected for all calls by [Store.SetFault] or for single
// calls by [Store.SetHook]: an outage, a slow answer, a write that takes effect
// while its answer is lost, an older state served. A write whose caller gives
// up while the store is slow takes effect later all the same. Every call is
// counted by kind; a waiting watch counts as one.
//
// An [Instances] is a list of instances that shows changes only after its lag.
//
// Over HTTP, the store answers:
//
//	GET    /objects/{key}                   value and ETag; If-None-Match gives 304
//	GET    /objects/{key}?watch=7&wait=30   waits until the version is not 7
//	GET    /objects?prefix=config/          all objects below a prefix
//	PUT    /objects/{key}                   If-Match: "7", or If-None-Match: *
//	DELETE /objects/{key}                   If-Match: "7"
//	GET    /counts                          calls by kind
//	GET    /faults, PUT /faults             the fault in force for all calls
//
// A condition that doesn't hold gives 412, a rate limit 429, an outage 503.
//
// # Usage
//
//	s := new(platform.Store)
//	s.SetFault(platform.Fault{Down: true})
//	srv := httptest.NewServer(platform.NewHandler(s, new(platform.Instances)))
package platform
