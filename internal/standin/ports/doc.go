// Package ports reserves loopback ports for simulations and tests that need to know
// addresses before anything listens on them.
//
// After an ephemeral port is closed, any outgoing connection may take it. A [Block]
// is therefore a range of consecutive ports below the system's ephemeral range. Its
// first port stays open as a lock, so that no other process with this package
// uses the block at the same time.
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
