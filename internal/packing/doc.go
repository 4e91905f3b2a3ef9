// Package packing compresses large values that entries send each other, such as configurations
// of thousands of routes. Packed values are in the format of zstd.
//
// # Usage
//
//	if len(raw) >= packing.MinSize {
//		packed, err = packer.Pack(raw)
//	}
//	raw, err := packing.Unpack(packed)
package packing
