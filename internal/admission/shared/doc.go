// Package shared permits sends within slots that the homes of the backend
// servers grant, and takes its part as home of some of them.
//
// An [Admitter] joins a pool.Pool, which serves the request path, to a
// node.Node, which decides what to ask, to grant and to give back. Requests take slots from the pool and ask nobody.
// [Admitter.Run] exchanges the messages with the other entries: it renews the
// grants, asks for more slots before they run short or when requests wait, and
// gives back what it doesn't need.
//
// Who is home, in which term and with what authority is told by [Homes], which
// the leases in the store stand behind.
//
// Lifetime is the same at all entries. Margin is added to the longest deadline
// of a service, for clocks of unequal rate and bytes on their way.
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
