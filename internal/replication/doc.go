// Package replication replicates changes of the steering configuration to every
// entry and detects entries whose state has diverged.
//
// It replicates the inputs, not the results: changes of the configuration, in
// numbered epochs with one serial order. Each entry applies an [Epoch] to its
// [Replica], computes the lookup rows that depend on it, and compares its
// digest with that of the epoch. The digest is a sum over the rows, so
// updating it costs only as much as the rows that changed. An entry that misses
// an epoch or whose digest differs fetches a snapshot. Replicating inputs in a
// serial order and comparing checksums of the result follows "Scalable
// Replay-Based Replication For Fast Databases", sections 4.1 and 4.4;
// docs/design/replication.md has the measurement behind the choice.
//
// Within an availability zone, epochs are forwarded along a [Tree] that every
// member computes from the same member list; its roots are the zone's relays,
// which read the platform's store.
//
// A Replica must be used by one goroutine only.
//
// # Usage
//
//	switch err := replica.Apply(&epoch); {
//	case errors.Is(err, replication.ErrGap), errors.Is(err, replication.ErrDiverged):
//		// fetch a snapshot from the parent
//	}
//	for _, child := range tree.Children(tree.Order(members), self) {
//		// forward the epoch
//	}
package replication
