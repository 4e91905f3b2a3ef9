// Package rpc implements JSON-RPC 2.0 calls between entries.
//
// A [Node] calls other entries and answers their calls. Each direction between
// two entries uses a separate connection, which is dialled at the first call
// and kept open. It begins with a hello message, in which both ends send their
// name and incarnation; a connection that reaches an instance other than the
// intended one is closed.
//
// Stalled connections are closed: if nothing was read on a connection during a
// call that timed out, or a write to it doesn't complete in time, the next call
// dials again. All calls that wait on a closed connection fail, and an answer
// read from it later is discarded. After a failed dial, calls fail immediately
// until a jittered backoff has passed.
//
// Messages are length-prefixed and bounded in size. Handlers run concurrently,
// at most 64 per connection; further requests are rejected as busy.
//
// # Usage
//
//	n := &rpc.Node{Self: peer.Sender{Instance: "entry-1", Incarnation: 7}, Dial: dial}
//	n.Register(membership.Method, handleHeartbeat)
//	go n.Serve(ctx, listener)
//	err := n.Call(ctx, "entry-2", membership.Method, beat, &answer)
package rpc
