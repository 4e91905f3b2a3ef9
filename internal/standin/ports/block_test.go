package ports_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/standin/ports"
)

func TestReserveReturnsDistinctFreeAddresses(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 3 {
		b, err := ports.Reserve(50)
		is.NoErr(err)
		defer b.Close()
		for index := range 50 {
			address := b.Address(index).String()
			is.True(!seen[address])
			seen[address] = true
		}
		l, err := net.Listen("tcp", b.Address(49).String())
		is.NoErr(err)
		l.Close()
	}
	_, err := ports.Reserve(ports.MaxCount + 1)
	is.True(err != nil)
}
