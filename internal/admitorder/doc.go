// Package admitorder orders the requests of a service by which are refused first while its
// servers can't serve all.
//
// An [Order] keeps a short record of the demand at one entry, by service, class and
// organisation. A class is what the requests of a kind with the same priorities are in. The
// share of an organisation in a class is its usual demand, multiplied by how much the demand
// of the others has grown. What it requests beyond that is above its share.
//
// A request's uniform random draw becomes its place in the order, from 0, refused first, to 1:
//
//	above the share, least urgent class first | within the share, least urgent class first | guaranteed
//
// Each of these parts is as wide as its fraction of the demand (the probability integral
// transform), so that the places are distributed uniformly too. Whoever refuses requests below
// a threshold refuses as many as with plain draws, but others. The guaranteed part holds the
// requests of less urgent classes that are drawn to be served at a quarter of the mean.
//
// Only the demand of about the last second counts, so that capacity which an organisation
// doesn't use goes to others, and returns with its demand.
//
// # Usage
//
//	place := order.Place(&admitorder.Request{Service: svc, Organisation: org, Kind: kind}, rand.Float64())
//	served := place.At >= threshold
//	place.Observe(!served)
//	order.Step(now) // ten times a second
package admitorder
