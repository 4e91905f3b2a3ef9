// Package ports reserves loopback ports for stand-ins and tests that have to
// know addresses before anything listens on them.
//
// A free port that the system chose may be taken by any outgoing connection
// once it is closed. A [Block] is a run of ports below the range that the
// system chooses from. Its first port stays open as a lock, so that no other
// process of this package uses the block at the same time.
//
// # Usage
//
//	b, err := ports.Reserve(21)
//	if err != nil {
//		return err
//	}
//	defer b.Close()
//	address := b.Address(0)
package ports
