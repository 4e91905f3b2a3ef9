// Package gate counts the slots of one backend server that one entry may use
// and those that it does use.
//
// A [Gate] is on the path of every request. Taking and giving back a slot is
// one compare-and-swap on the server's own word: no lock, no allocation, no
// word shared by all servers. The limit of a Gate is what the entry has been
// granted. It may run out: past the Gate's end no slot can be taken, while
// those in use stay counted until they are given back.
//
// Times are durations since a fixed moment on one monotonic clock of the
// process, which the caller passes in.
//
// # Usage
//
//	g.Raise(2)
//	g.SetEnd(gate.Forever)
//	if g.Acquire(now) {
//		defer g.Release()
//	}
package gate
