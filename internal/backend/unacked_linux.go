package backend

import "syscall"

// tcpUserTimeout is the option TCP_USER_TIMEOUT, in milliseconds.
const tcpUserTimeout = 0x12

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var err error
	ctrl := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit.Milliseconds()))
	})
	if ctrl != nil {
		return ctrl
	}
	return err
}
