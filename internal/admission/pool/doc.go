// Package pool hands out the slots that one entry holds, and lets requests
// wait for them in the order of their arrival.
//
// A [Pool] has a gate.Gate for each backend server. In the common case a
// request takes a slot at the first server, in the order that placement gave,
// which has one: no lock, no other entry asked. When none has, it joins its
// service's queue. A slot that comes free goes to the request that has waited
// longest among those that may use its server.
//
// A request waits only while it can still be served in time: by the queue's
// length, the mean time that slots are held, and its deadline. When it can't,
// it is refused at once with the time to come back.
//
// # Usage
//
//	p := pool.Pool{Order: placement.Order, MaxWaiting: 1000}
//	p.Set(pool.Key{Service: "registry", Server: "a-1"}).SetLimit(2)
//	permit, err := p.Admit(ctx, &req)
package pool
