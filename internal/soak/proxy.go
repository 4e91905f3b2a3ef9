package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections over loopback. It can delay, reset or refuse them and
// stall one or both directions.
type proxy struct {
	address string
	target  string

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	mode     mode
	delay    time.Duration
	open     map[net.Conn]bool
	released chan struct{} // closed while nothing is stalled
	// rewrite, if not nil, returns the rewriter of the bytes from the target on a new
	// connection.
	rewrite func() *rewriter
}

// mode selects the directions in which a proxy forwards bytes.
type mode int

const (
	forwarding mode = iota
	// stalled stops both directions, also for new connections.
	stalled
	// stalledResponses stops the bytes from the target.
	stalledResponses
)

func newProxy(ip, target string) (*proxy, error) {
	p := &proxy{address: net.JoinHostPort(ip, "0"), target: target, open: make(map[net.Conn]bool), released: make(chan struct{})}
	close(p.released)
	return p, p.listen()
}

// listen accepts connections, at the same address as before.
func (p *proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener, p.address = l, l.Addr().String()
	go p.serve(l)
	return nil
}

// refuse refuses new connections until listen is called.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

func (p *proxy) close() {
	p.refuse()
	p.setMode(forwarding, 0)
	p.reset()
}

// setMode sets the mode and the delay of each forwarded block.
func (p *proxy) setMode(m mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode != forwarding {
		close(p.released)
	}
	p.mode, p.delay = m, delay
	if m != forwarding {
		p.released = make(chan struct{})
	}
}

// reset closes all open connections with a TCP reset.
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

// setRewrite sets the rewriter of the bytes from the target on new connections.
func (p *proxy) setRewrite(rewrite func() *rewriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rewrite = rewrite
}

// newRewriter returns the rewriter of a new connection, nil if there is none.
func (p *proxy) newRewriter() *rewriter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rewrite == nil {
		return nil
	}
	return p.rewrite()
}

func (p *proxy) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.handle(c)
	}
}

func (p *proxy) handle(c net.Conn) {
	p.waitUntilForwarding(stalled)
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
	go p.forward(t, c, stalled)
	p.forward(c, t, stalledResponses)
}

// forward copies bytes in one direction, unless the mode stalls it.
func (p *proxy) forward(dst, src net.Conn, direction mode) {
	buf := make([]byte, 16<<10)
	var rewriter *rewriter
	if direction == stalledResponses {
		rewriter = p.newRewriter()
	}
	for {
		n, err := src.Read(buf)
		p.waitUntilForwarding(direction)
		if n > 0 {
			data := buf[:n]
			if rewriter != nil {
				data = rewriter.next(data)
			}
			if _, werr := dst.Write(data); werr != nil {
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

// waitUntilForwarding waits while the mode stalls a direction, then for the delay.
func (p *proxy) waitUntilForwarding(direction mode) {
	for {
		p.mu.Lock()
		m, delay, released := p.mode, p.delay, p.released
		p.mu.Unlock()
		if m == forwarding || m == stalledResponses && direction != stalledResponses {
			time.Sleep(delay)
			return
		}
		<-released
	}
}
