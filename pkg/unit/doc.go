// Package unit defines types for quantities whose unit a plain number would not
// show: sizes in bytes, bit rates in bits per second, and rates in requests per
// second. A [Duration] is a time.Duration with the text form "1m30s" in TOML and
// JSON.
//
// # Usage
//
//	var link unit.BitRate
//	err := link.UnmarshalText([]byte("300Mbit/s"))
//	perSecond := link.BytesPerSecond()
package unit
