// Package evenload spreads the requests of a service evenly over its servers, where all
// entries decide at the same moment by the same old reports.
//
// With few objects per server, rendezvous hashing gives some servers several times as many
// objects as others. A [Placement] bounds the number of objects of each server. It knows the
// objects that were recently requested. Servers and objects prefer each other by their scores
// in rendezvous hashing: an object proposes itself to its best servers, and a full server
// keeps the best objects that have proposed themselves (deferred acceptance). As both sides
// use the same scores, the result depends only on the objects, the servers and their
// capacities, and not on the order of requests: entries that know the same objects agree
// without a message, and those that know slightly different ones disagree on few objects.
//
// Entries tell each other of objects by notices, which other messages carry.
//
// A request on an object that won't be requested again may go to any server. [Pick] chooses
// among some of them by expected time.
//
// # Usage
//
//	p.SetServers(servers)
//	owner, ok := p.Owner(now, evenload.Object{Key: key, Regions: regions})
//	server := servers[evenload.Pick(candidates, draw)]
package evenload
