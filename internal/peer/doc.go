// Package peer defines the JSON-RPC 2.0 interface between entries.
//
// A [Caller] sends one request to one named instance and waits for its
// answer; a [Handler] answers. Messages are the typed structs of the packages
// that define them. The receiver of a request knows its sender's name and
// incarnation, so that it recognises updates from a process that has since been
// replaced.
//
// # Usage
//
//	var answer membership.Beat
//	err := c.Call(ctx, "entry-3", membership.Method, beat, &answer)
package peer
