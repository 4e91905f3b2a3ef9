// Package config keeps the configuration in force at an entry.
//
// A [Keeper] learns publications from the platform's store, which it watches,
// and from other entries, whose heartbeats name the version that they hold. It
// puts one in force only if its version is above the one held, so that the
// version never falls, whatever the store or a slow peer says; [Judge] is that
// decision. The table in force is read through an atomic pointer.
//
// At its start a keeper asks the store and some peers. It is ready when it
// holds a version and all that it asked have answered or failed, so that a
// fresh entry neither serves before it knows a version nor falls behind peers
// that can be asked. It needs the store only to learn of a version that no
// peer has. A caller that has seen a higher version elsewhere is protected by
// [Keeper.AtLeast].
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
