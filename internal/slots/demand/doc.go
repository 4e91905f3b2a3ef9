// Package demand decides how many slots an entry asks of which home, and how
// many idle ones it gives back.
//
// An entry keeps a few idle slots of each service in reserve, so that the next
// request needn't wait for a slot to be moved. Below the reserve it asks the
// nearest homes that have spare slots. What nobody can spare it asks of homes
// that it reports to anyway. Well above the reserve it gives idle slots of the
// farthest homes back.
//
// # Usage
//
//	p := demand.Policy{Low: 3, High: 8}
//	wants := p.Wants(waiting, buckets, wants[:0])
//	returns := p.Returns(waiting, buckets, returns[:0])
package demand
