// Package notices keeps the notices by which operators drain backend servers,
// and brings them to every entry.
//
// A [Notice] says that a backend server is leaving, or is back. Of two notices
// for one server the one with the higher sequence number counts, and the
// author's name decides between equal ones, so that entries that have seen the
// same notices agree in whatever order they came. A [Board] holds the latest
// notice of each server.
//
// An [Exchange] passes a new notice to every other entry at once, and compares
// its board with one other entry's every [Exchange.Period], which makes good
// what was lost. Notices don't need the platform's store to take effect; the
// author also writes them there, again and again until it works, so that they
// outlast a restart of all entries.
//
// # Usage
//
//	x := notices.Exchange{Board: &board, Peers: node, Others: live, Store: s}
//	x.Register(node)
//	go x.Run(ctx)
//	x.Post(ctx, "registry", "registry-07", true)
//	if board.Leaving("registry", "registry-07") {
//		// no new work
//	}
package notices
