// Package lease holds leases with terms in the platform's store.
//
// A lease is one object. Its [Record] names the holder and a term, which rises
// with each new holder. The term in the store is the authority: a holder may
// act only while its last successful conditional write of the record is
// younger than the lease's lifetime, by its own monotonic clock. The write is
// conditional on the version last seen, so neither a read of an older state
// nor a write that lands late can confirm a term that is over.
//
// A lease is taken over only if its holder released it, if the platform says
// that the holder's instance is gone, if the taker is a later process of the
// same instance, or, for a timed lease alone, if the record did not change for
// a lifetime. A taker raises the term. Unless the holder released the lease or
// a timed lease ran out, it then waits one lifetime before it acts, so that a
// former holder that was merely paused has stopped by its own clock.
//
// What a holder grants to others must end with its right: [Holder.Remaining]
// is how long a grant may live, counted by its receiver from when it asked.
// [Holder.FreeAt] is when also requests that were admitted under the last such
// grant have ended.
//
// [Holder] is the state machine of one lease, without I/O or clock. [Keeper]
// runs many of them against a store.
//
// # Usage
//
//	k := &lease.Keeper{Store: s, Prefix: "lease/home/", Self: self,
//		Names: buckets, Want: want, Gone: watcher.Gone}
//	go k.Run(ctx)
//	if g, ok := k.Held("registry/east-a"); ok {
//		// g.Term is held for g.Remaining
//	}
package lease
