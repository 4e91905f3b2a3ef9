//go:build !race

package simclock

// Race reports whether the race detector is enabled.
const Race = false
