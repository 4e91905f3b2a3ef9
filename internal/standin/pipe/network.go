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
	// Network connects listeners and dialers by address. The zero Network is
	// ready for use. It is safe for concurrent use.
	Network struct {
		mu        sync.Mutex
		listeners map[netip.AddrPort]*listener
	}

	// duplex is a connection of two pipes, one for each direction, so that each
	// direction can be closed separately.
	duplex struct {
		r, w net.Conn
		addr net.Addr
	}

	listener struct {
		addr   netip.AddrPort
		conns  chan net.Conn
		closed chan struct{}
		once   sync.Once
		remove func()
	}
)

// Listen listens on an address. It returns an error if the address is in use.
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

// Dial connects to the listener at addr. It returns an error at once if there is
// none.
func (n *Network) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, eris.Errorf("dial %s: connection refused", addr)
	}
	near, far := newPair(addr)
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

// Close closes the listener; accepted connections stay open.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.remove()
		close(l.closed)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// newPair returns the dialer's and the listener's end of a connection.
func newPair(addr netip.AddrPort) (near, far *duplex) {
	at := net.TCPAddrFromAddrPort(addr)
	nearWriter, farReader := net.Pipe()
	nearReader, farWriter := net.Pipe()
	return &duplex{r: nearReader, w: nearWriter, addr: at}, &duplex{r: farReader, w: farWriter, addr: at}
}

// Read reads from the other end.
func (d *duplex) Read(p []byte) (int, error) { return d.r.Read(p) }

// Write writes to the other end.
func (d *duplex) Write(p []byte) (int, error) { return d.w.Write(p) }

// CloseWrite closes the writing direction; the other end reads io.EOF.
func (d *duplex) CloseWrite() error { return d.w.Close() }

// Close closes both directions.
func (d *duplex) Close() error {
	_ = d.w.Close()
	return d.r.Close()
}

// LocalAddr returns the address that was dialled; both ends share it.
func (d *duplex) LocalAddr() net.Addr { return d.addr }

// RemoteAddr returns the address that was dialled; both ends share it.
func (d *duplex) RemoteAddr() net.Addr { return d.addr }

// SetDeadline sets the deadlines of reads and writes.
func (d *duplex) SetDeadline(t time.Time) error {
	_ = d.r.SetReadDeadline(t)
	return d.w.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (d *duplex) SetReadDeadline(t time.Time) error { return d.r.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of writes.
func (d *duplex) SetWriteDeadline(t time.Time) error { return d.w.SetWriteDeadline(t) }
