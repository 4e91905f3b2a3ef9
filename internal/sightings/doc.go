// Package sightings tells the other entries about requests that crash backend
// servers, and learns from them.
//
// An [Exchange] passes each piece of news to all other entries at once, and by
// way of those that confirmed it to those that did not. Every
// [Exchange.Period] it compares its list with one other entry's, so that an
// entry that was started or cut off meanwhile learns what it missed. Nothing
// goes through the platform's store.
//
// # Usage
//
//	x := &sightings.Exchange{List: list, Peers: node, Others: live, Rand: rng}
//	x.Register(node)
//	go x.Run(ctx)
//	handler.Spread = x
package sightings
