package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes TCP connections on over loopback, and may delay them, reset them,
// cut one way, or go silent.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	mode   mode
	delay  time.Duration
	open   map[net.Conn]bool
	paused chan struct{} // closed when nothing is held up
}

// mode is what a proxy does to the bytes of its connections.
type mode int

const (
	passes mode = iota
	// silent holds all bytes up, also those of new connections.
	silent
	// cutBack holds up the bytes from the target.
	cutBack
)

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, open: make(map[net.Conn]bool), paused: make(chan struct{})}
	close(p.paused)
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(passes, 0)
	p.reset()
}

// set changes what the proxy does.
func (p *proxy) set(m mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode != passes {
		close(p.paused)
	}
	p.mode, p.delay = m, delay
	if m != passes {
		p.paused = make(chan struct{})
	}
}

// reset ends all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		delete(p.open, c)
	}
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(c net.Conn) {
	p.held(silent)
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.open[c], p.open[t] = true, true
	p.mu.Unlock()
	go p.copy(t, c, silent)
	p.copy(c, t, cutBack)
}

// copy passes bytes on in one direction, while no mode holds them up.
func (p *proxy) copy(dst, src net.Conn, holds mode) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		p.held(holds)
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			if err == io.EOF {
				if tcp, ok := dst.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
				return
			}
			break
		}
	}
	_ = dst.Close()
	_ = src.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, dst)
	delete(p.open, src)
}

// held waits while a mode holds up the bytes of a direction, and for the delay.
func (p *proxy) held(direction mode) {
	for {
		p.mu.Lock()
		m, delay, paused := p.mode, p.delay, p.paused
		p.mu.Unlock()
		if m == passes || m == cutBack && direction != cutBack {
			time.Sleep(delay)
			return
		}
		<-paused
	}
}
