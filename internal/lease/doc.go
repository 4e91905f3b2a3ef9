// Package lease implements leases with fencing terms in the platform's store.
//
// A lease is one object. Its [Record] contains the holder and a term, which
// increases with each new holder. The term in the store is authoritative: a holder
// may act only while its last successful conditional write of the record is
// younger than the lease's lifetime, by its own monotonic clock. The write is
// conditional on the version last read, so neither a stale read nor a delayed
// write can confirm a term that has ended. A lease that is not timed stays valid
// longer during a store outage; [Holder.Remaining] has the conditions.
//
// A process takes over a lease only if its holder released it, if the platform
// reports that the holder's instance is gone, if the process is a later process of
// the same instance, or, for a timed lease only, if the record did not change for
// a lifetime. The new holder raises the term. Unless the lease was released or a
// timed lease expired, the new holder then waits one lifetime before it acts, so
// that a former holder that was only paused has stopped by its own clock.
//
// What a holder grants to others must expire together with its lease:
// [Holder.Remaining] is how long a grant may be valid, counted by its receiver
// from the time of its request. [Holder.FreeAt] is the time after which requests
// that were admitted under the last such grant have ended too.
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
