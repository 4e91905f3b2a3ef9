// Package unit holds the quantities of the configuration and the decisions
// whose unit a plain number would hide: bytes, bits a second and requests a
// second. Time is a [Duration], a time.Duration written "1m30s" in TOML and
// JSON.
//
// # Usage
//
//	var link unit.BitRate
//	err := link.UnmarshalText([]byte("300Mbit/s"))
//	perSecond := link.BytesPerSecond()
package unit
