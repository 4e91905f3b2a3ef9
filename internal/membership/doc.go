// Package membership detects which other entries are alive, from heartbeats
// between the entries and the platform's list of instances.
//
// Each entry sends a [Beat] to each other entry every half second. A heartbeat
// carries its sender's configuration version, whether the sender is shutting
// down, and how long ago it received a heartbeat directly from the receiver;
// the answer lists this for all entries. An entry counts as alive if one of its
// heartbeats arrives, or if the answer of another entry reports one received
// directly; relayed reports are not relayed again. Therefore neither the loss
// of many heartbeats nor the loss of one direction between two entries marks
// an entry as down, and an entry that stops is marked down by all others
// within 3 s.
//
// A [Table] holds the state of the other entries and evaluates it without I/O.
// It ignores a heartbeat of an older incarnation than the latest known, so that
// a replaced process can't change the state of its successor. [Table.Tick]
// detects a pause of this process, and the length of the pause doesn't count as
// silence of the other entries.
//
// Each kind of decision uses its own source. Callers are directed only to an
// entry that is alive, not shutting down, and not listed as leaving or gone by
// the platform ([Member.Lookup]). Messages are sent only to an entry that was
// received directly and that receives this entry's heartbeats
// ([Member.Mutual]). The duties of an entry may be taken over only if the
// platform lists it as gone ([Member.Listed]), and under a new term of its
// lease: missing heartbeats don't prove that its process has ended.
//
// # Usage
//
//	t := membership.Table{Self: "entry-1"}
//	h := membership.Heartbeat{Table: &t, Peers: node, Entries: names, Own: own, Changed: rebuild}
//	h.Register(node)
//	go h.Run(ctx)
//	m := t.Member("entry-2", time.Now())
package membership
