// Package link simulates the network links of machines in tests under testing/synctest. A link
// has a rate, which all transfers to and from its machine share chunk by chunk.
//
// # Usage
//
//	fast, slow := &link.Link{Rate: 25e6}, &link.Link{Rate: 1.25e6} // bytes a second
//	link.Pass(link.Chunk, fast, slow) // a chunk from one machine to the other
package link
