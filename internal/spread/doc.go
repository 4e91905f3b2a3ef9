// Package spread brings changes of steering intent to every entry and finds
// entries whose state has diverged.
//
// What is shipped are the inputs: changes of intent, in numbered epochs with
// one serial order. Each entry applies an [Epoch] to its [Replica], computes
// the look-up rows that follow from it, and compares its digest with the one
// the epoch carries. The digest is a sum over the rows, so that it costs as
// much as the rows that changed. An entry that misses an epoch or whose digest
// differs asks for a snapshot. The idea of shipping inputs in a serial order
// and comparing checksums of the result is taken from "Scalable Replay-Based
// Replication For Fast Databases", sections 4.1 and 4.4;
// docs/design/spread.md has the measurement behind it.
//
// Within an availability zone, epochs go down a [Tree] whose shape every
// member computes from the same member list; its roots are the zone's relays,
// which read the platform's store.
//
// A Replica is owned by one goroutine.
//
// # Usage
//
//	switch err := replica.Apply(&epoch); {
//	case errors.Is(err, spread.ErrGap), errors.Is(err, spread.ErrDiverged):
//		// fetch a snapshot from the parent
//	}
//	for _, child := range tree.Children(members, self) {
//		// pass the epoch on
//	}
package spread
