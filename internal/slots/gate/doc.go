// Package gate counts the slots of one backend server that one entry may use and
// the slots that it has in use.
//
// A [Gate] is on the path of every request. Acquiring and releasing a slot is one
// atomic read-modify-write on a word of that server: there is no lock, no
// allocation and no word shared by all servers. The limit of a Gate is the number
// of slots that the entry has been granted. A grant may expire: after the Gate's
// end no slot can be acquired, while slots in use stay counted until they are
// released.
//
// Times are durations since a fixed moment on one monotonic clock of the
// process, passed in by the calling code.
//
// # Usage
//
//	g.Raise(2)
//	g.SetEnd(gate.Forever)
//	if g.Acquire(now) {
//		defer g.Release()
//	}
package gate
