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
