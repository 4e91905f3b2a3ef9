package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, whose value is in
// milliseconds.
const tcpUserTimeout = 0x12

// tcpClose is the state TCP_CLOSE in the kernel's TCP_INFO.
const tcpClose = 7

// LimitUnacked returns a net.Dialer.Control function that makes the kernel abort a
// connection when sent data or keepalive probes are not acknowledged within limit,
// which is truncated to milliseconds.
func LimitUnacked(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setLimit(raw, limit) }
}

// SetUnackedLimit sets the limit of [LimitUnacked] on an open connection. The kernel counts
// data that the other side doesn't take, since its buffers are full, as not acknowledged.
func SetUnackedLimit(c syscall.Conn, limit time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setLimit(raw, limit)
}

// Unacked returns how many of the bytes that were sent on a connection the other side has not
// acknowledged, 0 if the kernel can't tell.
func Unacked(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	unacked := 0
	controlErr := raw.Control(func(fd uintptr) { unacked, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if controlErr != nil || err != nil {
		return 0
	}
	return unacked
}

// Closed reports whether a connection is closed in both directions, as it is after the other
// side has reset it; known is false if the kernel can't tell. The kernel reports a reset to one
// read or write only, and to others as the end of the stream.
func Closed(c syscall.Conn) (closed, known bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false, false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if controlErr != nil || err != nil {
		return false, false
	}
	return info.State == tcpClose, true
}

func setLimit(raw syscall.RawConn, limit time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
