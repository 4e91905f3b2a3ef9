// Package node is the part of one entry in sharing slots: holder of some slots
// of every bucket, and home of some buckets.
//
// A [Node] is told the time, messages and their answers, and returns the
// messages to send. It has no clock, no goroutine and no network, so that the
// daemon and the trace replay drive the same decisions. Requests take slots
// from the gates while it decides.
//
// # Usage
//
//	n := node.Node{Self: self, Homes: homes, Gate: gateOf, Offer: offer, Waiting: waiting, Lifetime: 2 * time.Second}
//	n.Configure(node.Plan(files, entries, margin), now)
//	for _, send := range n.Step(now) {
//		// carry it and hand the answer to n.Answered or n.Pushed
//	}
package node
