package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to an address. Connections that are open when silence is
// called stay open, but nothing passes any more in either direction; new ones work.
type proxy struct {
	listen net.Listener
	to     string

	mu    sync.Mutex
	conns map[*proxied]bool
}

type proxied struct {
	near, far net.Conn
	silent    atomic.Bool
}

func startProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listen: l, to: to, conns: map[*proxied]bool{}}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(near)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listen.Addr().String() }

func (p *proxy) serve(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer far.Close()
	c := &proxied{near: near, far: far}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}()
	ended := make(chan bool, 2)
	for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() { c.copy(way[0], way[1]); ended <- true }()
	}
	<-ended
	if c.silent.Load() {
		<-ended // one end has closed, of which the other one doesn't hear
	}
}

// copy passes bytes on, or drops them once the connection is silent.
func (c *proxied) copy(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if c.silent.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// silence makes the connections that are open now silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent.Store(true)
	}
	return len(p.conns)
}
