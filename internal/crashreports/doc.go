// Package crashreports exchanges crash reports between entries: reports of
// requests that crash backend servers.
//
// An [Exchange] sends each report to all other entries in parallel; entries that
// confirm it relay it to those that don't. Lists are kept equal by pulls, in which an
// entry names the reports that it has and receives the others: from a random entry every
// [Exchange.Period], or, where heartbeats carry the digests of lists, from an entry whose
// digest differs. So an entry that was started, unreachable or lost a message in the
// meantime receives what it missed. The platform's store is not used.
//
// # Usage
//
//	x := &crashreports.Exchange{List: list, Peers: node, Others: live, Rand: rng}
//	x.Register(node)
//	go x.Run(ctx) // or, for each heartbeat: x.Compare(sender, digest)
//	handler.CrashReporter = x
package crashreports
