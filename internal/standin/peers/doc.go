// Package peers simulates the network between entries in tests.
//
// A [Network] connects nodes by name. Messages are encoded as JSON, as on a real
// connection. A hook determines for each message whether it is lost or delayed, or
// whether its answer is lost. A paused node neither sends nor receives messages
// until it is resumed. The package works under testing/synctest.
//
// # Usage
//
//	net := new(peers.Network)
//	a := net.Node(peer.Sender{Instance: "a", Incarnation: 1})
//	b := net.Node(peer.Sender{Instance: "b", Incarnation: 1})
//	b.Register("ping", handler)
//	err := a.Call(ctx, "b", "ping", nil, &answer)
package peers
