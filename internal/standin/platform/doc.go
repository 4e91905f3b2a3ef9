// Package platform simulates the platform in tests and trials: its object store and
// its list of instances.
//
// A [Store] is an in-memory store.Store and an http.Handler for the same objects.
// [Store.SetFault] injects faults into all calls and [Store.SetHook] into single
// calls: an outage, a slow answer, a write that takes effect while its answer is
// lost, or stale reads. If the context of a delayed write ends, the write still
// takes effect later. Calls are counted by kind; a watch counts as one call
// however long it waits.
//
// An [Instances] is a list of instances that shows changes after a lag.
//
// The HTTP interface of the store:
//
//	GET    /objects/{key}                   value and ETag; If-None-Match gives 304
//	GET    /objects/{key}?watch=7&wait=30   waits up to 30 s for a version other than 7
//	GET    /objects?prefix=config/          all objects whose key has the prefix
//	PUT    /objects/{key}                   If-Match: "7", or If-None-Match: *
//	DELETE /objects/{key}                   If-Match: "7"
//	GET    /counts                          calls by kind
//	GET    /faults, PUT /faults             the fault that applies to all calls
//
// A condition that doesn't hold gives 412, an exceeded rate limit 429, an outage
// 503.
//
// # Usage
//
//	s := new(platform.Store)
//	s.SetFault(platform.Fault{Down: true})
//	srv := httptest.NewServer(platform.NewHandler(s, new(platform.Instances)))
package platform
