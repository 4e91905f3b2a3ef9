// Package crashreports exchanges crash reports between entries: reports of
// requests that crash backend servers.
//
// An [Exchange] sends each report to all other entries in parallel; entries that
// confirm it relay it to those that don't. Every [Exchange.Period] it compares
// its list with that of one other entry, so that an entry that was started or
// unreachable in the meantime receives what it missed. The platform's store is
// not used.
//
// # Usage
//
//	x := &crashreports.Exchange{List: list, Peers: node, Others: live, Rand: rng}
//	x.Register(node)
//	go x.Run(ctx)
//	handler.CrashReporter = x
package crashreports
