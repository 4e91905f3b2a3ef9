package ports

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

const (
	// MaxCount is the greatest number of addresses of a block.
	MaxCount = 199
	lowest   = 10_000
	highest  = 32_000
	step     = MaxCount + 1
	tries    = 50
)

// Block is a run of reserved loopback addresses.
type Block struct {
	base uint16
	lock net.Listener
}

// Reserve reserves a block of at most MaxCount addresses.
func Reserve(count int) (*Block, error) {
	if count > MaxCount {
		return nil, eris.Errorf("%d ports, want at most %d", count, MaxCount)
	}
	for range tries {
		b := &Block{base: uint16(lowest + step*rand.IntN((highest-lowest)/step))}
		if b.take(count) {
			return b, nil
		}
	}
	return nil, eris.New("no block of ports is free")
}

// Address returns the address at a place, counted from 0.
func (b *Block) Address(place int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), b.base+1+uint16(place))
}

// Close gives the block back.
func (b *Block) Close() error { return b.lock.Close() }

// take locks the block and tells whether all its ports are free.
func (b *Block) take(count int) bool {
	lock, err := net.Listen("tcp", netip.AddrPortFrom(b.Address(0).Addr(), b.base).String())
	if err != nil {
		return false
	}
	b.lock = lock
	for place := range count {
		l, err := net.Listen("tcp", b.Address(place).String())
		if err != nil {
			lock.Close()
			return false
		}
		l.Close()
	}
	return true
}
