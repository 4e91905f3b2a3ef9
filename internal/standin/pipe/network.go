package pipe

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Network joins listeners and dialers by address. The zero Network is
	// ready for use and safe for concurrent use.
	Network struct {
		mu        sync.Mutex
		listeners map[netip.AddrPort]*listener
	}

	// duplex is a connection of two pipes, one for each direction, so that
	// each can be closed by itself.
	duplex struct {
		r, w  net.Conn
		local net.Addr
	}

	listener struct {
		addr   netip.AddrPort
		conns  chan net.Conn
		closed chan struct{}
		once   sync.Once
		remove func()
	}
)

// Listen listens on an address that no open listener has.
func (n *Network) Listen(addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, eris.Errorf("address %s is in use", addr)
	}
	if n.listeners == nil {
		n.listeners = map[netip.AddrPort]*listener{}
	}
	l := &listener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	l.remove = func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.listeners, addr)
	}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to the listener at addr. It fails at once if there is none.
func (n *Network) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, eris.Errorf("dial %s: connection refused", addr)
	}
	near, far := join(addr)
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, eris.Errorf("dial %s: connection refused", addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops listening; open connections stay.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.remove()
		close(l.closed)
	})
	return nil
}

// Addr returns the address that was listened on.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

func join(addr netip.AddrPort) (near, far *duplex) {
	at := net.TCPAddrFromAddrPort(addr)
	there, here := net.Pipe()
	back, forth := net.Pipe()
	return &duplex{r: back, w: there, local: at}, &duplex{r: here, w: forth, local: at}
}

// Read reads from the other side.
func (d *duplex) Read(p []byte) (int, error) { return d.r.Read(p) }

// Write writes to the other side.
func (d *duplex) Write(p []byte) (int, error) { return d.w.Write(p) }

// CloseWrite lets the other side read to an end.
func (d *duplex) CloseWrite() error { return d.w.Close() }

// Close closes both directions.
func (d *duplex) Close() error {
	_ = d.w.Close()
	return d.r.Close()
}

// LocalAddr returns the address that was dialled.
func (d *duplex) LocalAddr() net.Addr { return d.local }

// RemoteAddr returns the address that was dialled.
func (d *duplex) RemoteAddr() net.Addr { return d.local }

// SetDeadline sets both deadlines.
func (d *duplex) SetDeadline(t time.Time) error {
	_ = d.r.SetReadDeadline(t)
	return d.w.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (d *duplex) SetReadDeadline(t time.Time) error { return d.r.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of writes.
func (d *duplex) SetWriteDeadline(t time.Time) error { return d.w.SetWriteDeadline(t) }
