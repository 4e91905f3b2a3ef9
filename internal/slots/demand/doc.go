// Package demand decides how many slots an entry asks of which home entry, and
// how many idle slots it returns.
//
// An entry keeps a reserve of a few idle slots per service, so that the next
// request does not have to wait until a slot is granted. Below the reserve's low
// mark it asks the nearest homes that have spare slots. Demand that no home can
// cover with spare slots is added to the reports that are due anyway. Above the
// high mark it returns idle slots to the farthest homes.
//
// # Usage
//
//	p := demand.Policy{Low: 3, High: 8}
//	wants := p.Wants(waiting, buckets, wants[:0])
//	returns := p.Returns(waiting, buckets, returns[:0])
package demand
