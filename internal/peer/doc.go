// Package peer speaks to the other entries over JSON-RPC 2.0.
//
// A [Caller] sends one request to one named instance and waits for its
// answer; a [Handler] answers. Messages are the typed structs of the packages
// that own them. Every message carries its sender's name and incarnation, so
// that news from a process that has since been replaced is recognised.
//
// # Usage
//
//	var reply membership.Ack
//	err := c.Call(ctx, "entry-3", "membership.heartbeat", beat, &reply)
package peer
