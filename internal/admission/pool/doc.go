// Package pool allocates the slots that one entry holds to requests and queues
// requests, first in, first out, while no slot is free.
//
// A [Pool] has a gate.Gate for each backend server. In the common case a
// request takes a slot of the first server, in the order given by placement,
// that has a free one; this takes no lock and no communication with other
// entries. If no server has a free slot, the request joins the queue of its
// service. A slot that becomes free goes to the longest waiting request that
// may use the server.
//
// A request waits only while it is expected to meet its deadline, given the
// length of the queue and the mean time for which slots are held. Otherwise it
// is refused without waiting, with the time after which to retry.
//
// # Usage
//
//	p := pool.Pool{Order: placement.Order, MaxWaiting: 1000}
//	p.Set(pool.Key{Service: "registry", Server: "a-1"}).SetLimit(2)
//	permit, err := p.Admit(ctx, &req)
package pool
