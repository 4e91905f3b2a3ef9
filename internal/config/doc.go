// Package config maintains the active configuration of an entry.
//
// A [Keeper] receives publications from the platform's store, which it watches,
// and from other entries, whose heartbeats contain the version that they hold. It
// activates a publication only if its version is above the one held, so that the
// version never decreases, also if the store or a slow peer returns an older one;
// [Compare] makes that decision. The active table is read through an atomic pointer.
//
// At startup a keeper queries the store and some peers. It is ready when it holds a
// version and all of these have answered or failed. So a starting entry serves no
// request before it has a version, and is not behind the peers that it can reach.
// It needs the store only for a version that no peer has. For a caller that has
// seen a higher version at another entry, [Keeper.WaitFor] waits for that version.
//
// # Usage
//
//	k := &config.Keeper{Store: s, Caller: node, Peers: members.Alive}
//	node.Register(config.FetchMethod, k.HandleFetch)
//	go k.Run(ctx)
//	if k.Ready() {
//		file := k.Current().Service("registry")
//	}
package config
