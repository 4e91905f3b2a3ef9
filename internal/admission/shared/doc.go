// Package shared admits requests within slots that are granted by the home
// entries of the backend servers, and acts as the home entry of some of them.
//
// An [Admitter] connects a pool.Pool, which serves the request path, with a
// node.Node, which decides which slots to request, grant and return. Requests
// take slots from the pool without communication with other entries.
// [Admitter.Run] exchanges messages with the other entries: it renews grants,
// requests more slots before they run out or when requests wait, and returns
// slots that are not needed.
//
// [Homes] provides the home entry of each bucket, its term, and whether this
// entry may act as home. It is backed by the leases in the store.
//
// Lifetime must be the same at all entries. Margin is added to the longest
// deadline of a service, to cover clock drift and data in transit.
//
// # Usage
//
//	a := &shared.Admitter{Self: self, Caller: node, Homes: leases, Distance: distance, Entries: 7}
//	a.Pool.Order, a.Pool.MaxWaiting = placement.Order, 1000
//	a.Configure(files)
//	for method, handler := range a.Handlers() {
//		node.Handle(method, handler)
//	}
//	go a.Run(ctx)
//	permit, err := a.Admit(ctx, &req)
package shared
