// Package peers stands in for the network between entries in tests.
//
// A [Network] joins nodes by name. Messages are encoded as JSON, as over a
// real connection. A hook decides for each message what becomes of it: lost,
// late, or delivered while its answer is lost. A paused node takes and sends
// nothing until it is resumed. Works under testing/synctest.
//
// # Usage
//
//	net := new(peers.Network)
//	a := net.Node(peer.Sender{Instance: "a", Incarnation: 1})
//	b := net.Node(peer.Sender{Instance: "b", Incarnation: 1})
//	b.Register("ping", handler)
//	err := a.Call(ctx, "b", "ping", nil, &answer)
package peers
