package wan

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	chunkBytes = 32 << 10
	maxChunks  = 128 // on the way in one direction of a connection
)

type (
	// Network joins zones with the delays of a deployment. It is safe for
	// concurrent use.
	Network struct {
		// World holds the zones and their delays.
		World *deployment.Deployment

		mu     sync.Mutex
		places map[netip.AddrPort]id.Zone
		near   net.Listener // takes the callers' ends of relayed connections
		waits  map[netip.AddrPort]chan net.Conn
		open   map[net.Conn]struct{}
		closed bool
		sent   map[Direction]*atomic.Int64
	}

	// Direction is one direction between two regions.
	Direction struct {
		// From is the sending region.
		From id.Region
		// To is the receiving region.
		To id.Region
	}

	// chunk is what was read at once, or the end of what is sent.
	chunk struct {
		data []byte
		due  time.Time
	}
)

// Place says that the address is in the zone.
func (n *Network) Place(address netip.AddrPort, zone id.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.places == nil {
		n.places = map[netip.AddrPort]id.Zone{}
	}
	n.places[address] = zone
}

// Dial connects from a zone to a placed address.
func (n *Network) Dial(ctx context.Context, from id.Zone, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	zone, ok := n.places[to]
	n.mu.Unlock()
	if !ok {
		return nil, eris.Errorf("address %s is in no zone", to)
	}
	a, _ := n.World.Region(from)
	b, _ := n.World.Region(zone)
	return n.dial(ctx, n.World.Delay(from, zone), to, Direction{From: a, To: b})
}

// Sent returns the bytes that were sent so far between each two regions,
// clients excepted.
func (n *Network) Sent() map[Direction]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[Direction]int64{}
	for d, count := range n.sent {
		if d.From != d.To {
			out[d] = count.Load()
		}
	}
	return out
}

// DialClient connects from a client to an entry's address.
func (n *Network) DialClient(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return n.dial(ctx, n.World.Delays.Clients.Std(), to, Direction{})
}

// Close ends all relayed connections.
func (n *Network) Close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	if n.near != nil {
		n.near.Close()
	}
	for c := range n.open {
		c.Close()
	}
	return nil
}

func (n *Network) dial(ctx context.Context, delay time.Duration, to netip.AddrPort, way Direction) (net.Conn, error) {
	var d net.Dialer
	far, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	if delay == 0 {
		return far, nil
	}
	select {
	case <-time.After(2 * delay):
	case <-ctx.Done():
		far.Close()
		return nil, ctx.Err()
	}
	caller, near, err := n.pair(ctx)
	if err != nil {
		far.Close()
		return nil, err
	}
	n.relay(near, far, delay, way)
	return caller, nil
}

// pair returns the two ends of a loopback connection.
func (n *Network) pair(ctx context.Context) (caller, near net.Conn, err error) {
	l, err := n.listen()
	if err != nil {
		return nil, nil, err
	}
	var d net.Dialer
	caller, err = d.DialContext(ctx, "tcp", l.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	local := netip.MustParseAddrPort(caller.LocalAddr().String())
	select {
	case near = <-n.meeting(local):
		return caller, near, nil
	case <-ctx.Done():
		caller.Close()
		return nil, nil, ctx.Err()
	}
}

func (n *Network) listen() (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, net.ErrClosed
	}
	if n.near != nil {
		return n.near, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	n.near, n.waits, n.open = l, map[netip.AddrPort]chan net.Conn{}, map[net.Conn]struct{}{}
	go n.accept(l)
	return l, nil
}

func (n *Network) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		remote := netip.MustParseAddrPort(c.RemoteAddr().String())
		n.meeting(remote) <- c
	}
}

// meeting returns the channel over which the accepted end of the caller's
// connection is handed over, whichever side comes first.
func (n *Network) meeting(caller netip.AddrPort) chan net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	ch, ok := n.waits[caller]
	if ok {
		delete(n.waits, caller)
		return ch
	}
	ch = make(chan net.Conn, 1)
	n.waits[caller] = ch
	return ch
}

// relay passes bytes on in both directions until both have ended.
func (n *Network) relay(near, far net.Conn, delay time.Duration, way Direction) {
	n.track(near, far)
	var both sync.WaitGroup
	both.Add(2)
	ends := [2]net.Conn{near, far}
	counts := [2]*atomic.Int64{n.counter(way), n.counter(Direction{From: way.To, To: way.From})}
	for i, src := range ends {
		dst, count := ends[1-i], counts[i]
		line := make(chan chunk, maxChunks)
		broken := make(chan struct{})
		go take(line, src, delay, broken)
		go func() {
			defer both.Done()
			defer close(broken)
			deliver(dst, src, line, count)
		}()
	}
	go func() {
		both.Wait()
		n.untrack(near, far)
	}()
}

func (n *Network) counter(d Direction) *atomic.Int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sent == nil {
		n.sent = map[Direction]*atomic.Int64{}
	}
	if n.sent[d] == nil {
		n.sent[d] = new(atomic.Int64)
	}
	return n.sent[d]
}

func (n *Network) track(conns ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range conns {
		n.open[c] = struct{}{}
		if n.closed {
			c.Close()
		}
	}
}

func (n *Network) untrack(conns ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(n.open, c)
	}
}

// take reads src and puts what it read on the line.
func take(line chan<- chunk, src net.Conn, delay time.Duration, broken <-chan struct{}) {
	defer close(line)
	for {
		buf := make([]byte, chunkBytes)
		size, err := src.Read(buf)
		select {
		case line <- chunk{data: buf[:size], due: time.Now().Add(delay)}:
		case <-broken:
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver writes what is due on the line to dst. When the line ends it ends
// that direction; when dst is broken it breaks src too.
func deliver(dst, src net.Conn, line <-chan chunk, count *atomic.Int64) {
	for c := range line {
		time.Sleep(time.Until(c.due))
		count.Add(int64(len(c.data)))
		if _, err := dst.Write(c.data); err != nil {
			src.Close()
			return
		}
	}
	if half, ok := dst.(interface{ CloseWrite() error }); ok {
		half.CloseWrite() //nolint:errcheck // the connection may have ended
	}
}
