// Package serverlimit holds the limits that backend servers name in their answers: the
// rate of requests that a server takes from all entries together, for as long as its
// answers say so.
//
// What is known of a server is that of its newest answer, by the time at which the
// answer arrived at an entry. An answer without a limit ends the limit.
//
// # Usage
//
//	t := serverlimit.Table{Log: log}
//	key := serverlimit.Key{Server: "i-7", StartedAt: started}
//	t.Observe(now, key, 2.5, "request-1")
package serverlimit
