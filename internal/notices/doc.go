// Package notices replicates the notices by which operators drain backend
// servers to every entry.
//
// A [Notice] states that a backend server is leaving, or that it is back. Of
// two notices for one server, the one with the higher sequence number wins, and
// the author's name decides between equal numbers, so that entries that have
// received the same notices agree, regardless of their order. A [Table] holds
// the latest notice of each server.
//
// An [Exchange] sends a new notice to every other entry at once, and compares
// its [Table] with that of one other entry every [Exchange.Period], which
// repairs lost messages. Notices take effect without the platform's store. The
// author also writes them to the store, and retries until it succeeds, so that
// they survive a restart of all entries.
//
// # Usage
//
//	x := notices.Exchange{Table: &table, Peers: node, Others: live, Store: s}
//	x.Register(node)
//	go x.Run(ctx)
//	x.Post(ctx, notices.Key{Service: "registry", Server: "registry-07"}, true)
//	if table.Leaving("registry", "registry-07") {
//		// no new requests
//	}
package notices
