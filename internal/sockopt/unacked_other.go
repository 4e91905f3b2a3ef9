//go:build !linux

package sockopt

import (
	"syscall"
	"time"
)

// LimitUnacked returns nil: the option is available only on Linux.
func LimitUnacked(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return nil
}

// SetUnackedLimit does nothing: the option is available only on Linux.
func SetUnackedLimit(syscall.Conn, time.Duration) error { return nil }

// Unacked returns 0: the kernel can't tell on other systems than Linux.
func Unacked(syscall.Conn) int { return 0 }

// Closed can't tell on other systems than Linux.
func Closed(syscall.Conn) (closed, known bool) { return false, false }
