// Package node implements the slot sharing of one entry: as holder of some slots
// of every bucket, and as home of some buckets.
//
// A [Node] is passed the time, messages and the answers to its messages, and
// returns the messages to send. It has no clock, no goroutine and no network, so
// the daemon and the trace replay run the same decisions. Requests take slots from
// the gates concurrently.
//
// # Usage
//
//	n := node.Node{Self: self, Homes: homes, Gate: gateOf, Offer: offer, Waiting: waiting, Lifetime: 2 * time.Second}
//	n.Configure(node.Plan(files, entries, margin), now)
//	for _, msg := range n.Step(now) {
//		// send msg, and pass the answer to n.ReportAnswered or n.GrantAnswered
//	}
package node
