package main

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

// hole is a listener that takes no connections: as at a machine without power, connections to
// its address hang.
type hole struct {
	fd      int
	filling []net.Conn
}

// openHole listens at an IPv4 address with the shortest backlog, and fills it.
func openHole(address string) (*hole, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	h := &hole{fd: fd}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		h.close()
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		h.close()
		return nil, err
	}
	for range 3 {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			break // full
		}
		h.filling = append(h.filling, c)
	}
	return h, nil
}

// close lets the address be used again.
func (h *hole) close() {
	for _, c := range h.filling {
		reset(c)
	}
	_ = syscall.Close(h.fd)
}
