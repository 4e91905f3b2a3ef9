package sockopt

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the option TCP_USER_TIMEOUT, in milliseconds.
const tcpUserTimeout = 0x12

// LimitUnacked returns a net.Dialer's Control that ends connections whose data
// or probes are not acknowledged for a time, in whole milliseconds.
func LimitUnacked(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		ctrl := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		})
		if ctrl != nil {
			return ctrl
		}
		return err
	}
}
