// Package rpc speaks JSON-RPC 2.0 between entries.
//
// A [Node] calls other entries and answers them. Each direction between two
// entries has a connection of its own, dialled at the first call and kept. It
// begins with a hello, in which both ends name themselves with their
// incarnation; a connection that reaches another instance than the wanted one
// is dropped.
//
// A connection is judged by its progress: if nothing at all was read on it
// during a call that timed out, or writing to it is stuck, it is dropped, and
// the next call dials anew. All calls that wait on a dropped connection fail,
// and an answer read from it later is not used. After a failed dial, calls
// fail at once until a jittered backoff has passed.
//
// Messages are framed by their length and bounded in size. Handlers run
// concurrently, at most 64 a connection; further requests are refused as busy.
//
// # Usage
//
//	n := &rpc.Node{Self: peer.Sender{Instance: "entry-1", Incarnation: 7}, Dial: dial}
//	n.Register("membership.heartbeat", handleHeartbeat)
//	go n.Serve(ctx, listener)
//	err := n.Call(ctx, "entry-2", "membership.heartbeat", beat, &ack)
package rpc
