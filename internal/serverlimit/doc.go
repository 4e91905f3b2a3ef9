// Package serverlimit holds the limits that backend servers name in their answers: the
// rate of requests that a server takes from all entries together, for as long as its
// answers say so.
//
// What is known of a server is that of its newest answer, by the time at which the
// answer arrived at an entry. An answer without a limit ends the limit. Entries report
// to each other what they know, so that one that gets no answers of a server keeps to its
// limit too, and learns when it ends. Reports may be delayed, and the entries' clocks
// differ: an answer counts as newer than all that its entry knew before, and a report of
// a higher limit is held back for a short time in which a newer answer may become known.
//
// Each entry has a fixed share of a limit, in whole requests over a window of some
// seconds. An entry whose share is 0, as there are more entries than requests, may send
// single requests while no answer of the server arrives at any entry: the right to do so
// passes down the ranking of the entries for the server. This uses what those that have a
// share leave unused, and detects the end of the limit.
//
// # Usage
//
//	t := serverlimit.Table{Log: log, Started: started}
//	key := serverlimit.Key{Server: "i-7", StartedAt: born}
//	t.Observe(now, key, 2.5, "request-1")
//	if t.Take(now, key, func() serverlimit.Share { return serverlimit.Share{Entries: 7, Rank: 2} }) {
//		send()
//	}
//	for _, r := range t.Reports(now, round, 6) {
//		other.Apply(now, &r, "entry-1")
//	}
package serverlimit
