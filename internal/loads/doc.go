// Package loads aggregates the slots of each region that all entries together
// have in use.
//
// Each entry reports in its heartbeats how many slots of each service it uses in
// each region, as [Use]. A [Table] stores the latest report of each entry with
// its time. The load of a region is the sum over the live entries. Its age is
// that of the oldest report in it. It is missing while a live entry has not
// reported, so that a policy never acts on a partial sum.
//
// # Usage
//
//	table.Update("entry-2", now, uses)
//	load := table.Region("registry", "fyn", slots, alive)
//	share, state := load.Read(now, 5*time.Second)
package loads
