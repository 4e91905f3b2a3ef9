package sockopt

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, whose value is in
// milliseconds.
const tcpUserTimeout = 0x12

// LimitUnacked returns a net.Dialer.Control function that makes the kernel abort a
// connection when sent data or keepalive probes are not acknowledged within limit,
// which is truncated to milliseconds.
func LimitUnacked(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}
