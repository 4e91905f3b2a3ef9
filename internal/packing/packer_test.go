package packing_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/packing"
)

// Guards against values that differ after their way to another entry.
func TestPackedValuesAreRestored(t *testing.T) {
	var p packing.Packer
	tests := map[string][]byte{
		"empty":             {},
		"one byte":          {7},
		"repeated":          []byte(strings.Repeat(`{"host":"a.example"},`, 50_000)),
		"beyond the window": bytes.Repeat([]byte("0123456789abcdef"), 200_000),
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			packed, err := p.Pack(raw)
			is.NoErr(err)
			is.True(len(raw) < packing.MinSize || len(packed) < len(raw)/10)
			got, err := packing.Unpack(packed)
			is.NoErr(err)
			is.True(bytes.Equal(got, raw))
		})
	}
}

// Guards against a small message of another process that takes all memory once it is unpacked.
func TestUnpackedSizeIsLimited(t *testing.T) {
	is := is.New(t)
	var p packing.Packer
	packed, err := p.Pack(make([]byte, 80<<20))
	is.NoErr(err)
	_, err = packing.Unpack(packed)
	is.True(err != nil)
	for _, damaged := range [][]byte{packed[:len(packed)/2], append([]byte("x"), packed...), []byte("{}")} {
		_, err := packing.Unpack(damaged)
		is.True(err != nil)
	}
}
