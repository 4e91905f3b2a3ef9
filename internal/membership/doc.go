// Package membership says which other entries are alive, by heartbeats between
// them and the platform's list of instances.
//
// Entries exchange a [Beat] with each other every half second. A beat tells
// its sender's configuration version, whether it is leaving, and how long ago
// it heard each other entry directly. An entry counts as heard when a beat of
// its own arrives, or when the answer to a beat says that a third entry heard
// it; what a third entry only heard of is never passed on. So the loss of many
// beats, or of one direction between two entries, makes nobody dead, and an
// entry that stops is dead to all within 3 s.
//
// A [Table] holds what is known and judges it without I/O. A beat of an older
// incarnation than the latest is left out, so that a process that was replaced
// can't speak for its successor. A pause of the own process is recognised by
// [Table.Tick] and not held against the others.
//
// Which word counts depends on the decision. May callers be sent there: the
// pessimist, so an entry must be heard, not leaving, and not leaving or gone
// by the platform's list ([Member.Lookup]). May a message be sent there: it
// must be heard directly and hear this entry ([Member.Mutual]). May its duties
// be taken over: the platform's word alone ([Member.Listed]), together with
// the lease's term; silence proves nothing.
//
// # Usage
//
//	t := membership.Table{Self: "entry-1"}
//	h := membership.Heartbeat{Table: &t, Peers: node, Entries: names, Own: own, Changed: rebuild}
//	h.Register(node)
//	go h.Run(ctx)
//	m := t.Member("entry-2", time.Now())
package membership
