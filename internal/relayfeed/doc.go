// Package relayfeed lets entries get the store's changes from another entry, so that
// calls to the store don't grow with the number of entries.
//
// The leaders of an availability zone, its first two live entries by name, follow the
// store themselves. A [Log] of each kind keeps the objects and the raw changes that an
// entry has got, and a [Server] answers the other entries from it: with a list, or with the
// changes after a version as soon as there are any. Only an entry that reads from the store
// itself answers, so that answers are never passed on twice.
//
// A [Feed] is the other end. It asks a leader while there is one that is heard and
// answers, and the store otherwise, from the version at which the leader left it. An entry
// is left when it is silent, doesn't answer, is late with a change that others have
// applied, has lost the store, was restarted, or doesn't know the method. It is asked again
// after a random delay that grows with its failures; see [selector].
//
// An answer of another entry proves nothing about the present state of the store.
// [Feed.Origin] tells such answers from those of the store.
//
// # Usage
//
//	log := &relayfeed.Log{}
//	server := &relayfeed.Server{Logs: map[follow.Kind]*relayfeed.Log{follow.Servers: log}, Serving: serving}
//	server.Register(rpcNode)
//	feed := &relayfeed.Feed{Self: self, Kind: follow.Servers, Store: storeFeed, Peers: rpcClient, Leaders: leaders, Timeout: timeout, Log: slog}
//	f := &follow.Follower{Kind: follow.Servers, Feed: feed, Recorder: log, ...}
package relayfeed
