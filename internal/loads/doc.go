// Package loads sums up how much of each region's slots all entries together
// have in use.
//
// Each entry tells the others in its heartbeats how many slots of each service
// it uses in each region, as [Use]. A [Board] keeps the latest word of each
// entry with its time. A region's load is the sum over the entries that are
// alive; it is as old as the oldest word in it, and missing while an entry that
// is alive has said nothing, so that a policy never takes a part for the whole.
//
// # Usage
//
//	board.Take("entry-2", now, uses)
//	load := board.Region("registry", "fyn", slots, alive)
//	share, state := load.Read(now, 5*time.Second)
package loads
