package ports

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

const (
	// MaxCount is the largest number of addresses in a block.
	MaxCount  = 199
	minPort   = 10_000
	maxPort   = 32_000 // below the default ephemeral range of Linux
	blockSize = MaxCount + 1
	maxTries  = 50
)

// Block is a range of reserved loopback addresses.
type Block struct {
	base uint16
	lock net.Listener
}

// Reserve reserves a block of at most MaxCount addresses.
func Reserve(count int) (*Block, error) {
	if count > MaxCount {
		return nil, eris.Errorf("%d ports requested, a block has at most %d", count, MaxCount)
	}
	for range maxTries {
		b := &Block{base: uint16(minPort + blockSize*rand.IntN((maxPort-minPort)/blockSize))}
		if b.reserve(count) {
			return b, nil
		}
	}
	return nil, eris.Errorf("no free block of ports after %d attempts", maxTries)
}

// Address returns the address with an index, counted from 0.
func (b *Block) Address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), b.base+1+uint16(index))
}

// Close releases the block.
func (b *Block) Close() error { return b.lock.Close() }

// reserve locks the block; it returns false if one of count ports is in use.
func (b *Block) reserve(count int) bool {
	lock, err := net.Listen("tcp", netip.AddrPortFrom(b.Address(0).Addr(), b.base).String())
	if err != nil {
		return false
	}
	b.lock = lock
	for index := range count {
		l, err := net.Listen("tcp", b.Address(index).String())
		if err != nil {
			lock.Close()
			return false
		}
		l.Close()
	}
	return true
}
