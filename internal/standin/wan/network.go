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
	maxChunks  = 128 // in flight in one direction of a connection
)

type (
	// Network connects zones with the delays of a deployment. It is safe for
	// concurrent use.
	Network struct {
		// Deployment holds the zones and their delays.
		Deployment *deployment.Deployment

		mu       sync.Mutex
		zones    map[netip.AddrPort]id.Zone
		listener net.Listener                     // accepts the near ends of relayed connections
		pairs    map[netip.AddrPort]chan net.Conn // passes accepted connections, by the dialled end's address
		open     map[net.Conn]struct{}
		closed   bool
		sent     map[Direction]*atomic.Int64
	}

	// Direction is one direction between two regions.
	Direction struct {
		// From is the sending region.
		From id.Region
		// To is the receiving region.
		To id.Region
	}

	// chunk is the data of one read with the time at which it is delivered.
	chunk struct {
		data []byte
		due  time.Time
	}
)

// SetZone assigns the address to the zone.
func (n *Network) SetZone(address netip.AddrPort, zone id.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.zones == nil {
		n.zones = map[netip.AddrPort]id.Zone{}
	}
	n.zones[address] = zone
}

// Dial connects from a zone to an address that was assigned to a zone by SetZone.
func (n *Network) Dial(ctx context.Context, from id.Zone, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	zone, ok := n.zones[to]
	n.mu.Unlock()
	if !ok {
		return nil, eris.Errorf("address %s is not assigned to a zone", to)
	}
	a, _ := n.Deployment.Region(from)
	b, _ := n.Deployment.Region(zone)
	return n.dial(ctx, n.Deployment.Delay(from, zone), to, Direction{From: a, To: b})
}

// SentBytes returns the number of bytes sent so far in each direction between two
// regions, without traffic of clients.
func (n *Network) SentBytes() map[Direction]int64 {
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

// DialClient connects from a client to an entry's address, with the delay of
// clients.
func (n *Network) DialClient(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return n.dial(ctx, n.Deployment.Delays.Clients.Std(), to, Direction{})
}

// Close closes all relayed connections and prevents new ones.
func (n *Network) Close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	if n.listener != nil {
		n.listener.Close()
	}
	for c := range n.open {
		c.Close()
	}
	return nil
}

func (n *Network) dial(ctx context.Context, delay time.Duration, to netip.AddrPort, direction Direction) (net.Conn, error) {
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
	client, near, err := n.pair(ctx)
	if err != nil {
		far.Close()
		return nil, err
	}
	n.relay(near, far, delay, direction)
	return client, nil
}

// pair returns the two ends of a loopback connection, the first for the dialling code
// and the second for the relay.
func (n *Network) pair(ctx context.Context) (client, near net.Conn, err error) {
	l, err := n.listen()
	if err != nil {
		return nil, nil, err
	}
	var d net.Dialer
	client, err = d.DialContext(ctx, "tcp", l.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	local := netip.MustParseAddrPort(client.LocalAddr().String())
	select {
	case near = <-n.pairChannel(local):
		return client, near, nil
	case <-ctx.Done():
		client.Close()
		return nil, nil, ctx.Err()
	}
}

func (n *Network) listen() (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, net.ErrClosed
	}
	if n.listener != nil {
		return n.listener, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	n.listener, n.pairs, n.open = l, map[netip.AddrPort]chan net.Conn{}, map[net.Conn]struct{}{}
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
		n.pairChannel(remote) <- c
	}
}

// pairChannel returns the channel that passes the accepted end of a connection from
// accept to pair, by the address of the dialled end. Whichever is called first
// creates the channel.
func (n *Network) pairChannel(local netip.AddrPort) chan net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	ch, ok := n.pairs[local]
	if ok {
		delete(n.pairs, local)
		return ch
	}
	ch = make(chan net.Conn, 1)
	n.pairs[local] = ch
	return ch
}

// relay forwards bytes in both directions until both have ended.
func (n *Network) relay(near, far net.Conn, delay time.Duration, direction Direction) {
	n.track(near, far)
	var both sync.WaitGroup
	both.Add(2)
	ends := [2]net.Conn{near, far}
	counts := [2]*atomic.Int64{n.counter(direction), n.counter(Direction{From: direction.To, To: direction.From})}
	for i, src := range ends {
		dst, count := ends[1-i], counts[i]
		queue := make(chan chunk, maxChunks)
		failed := make(chan struct{})
		go receive(queue, src, delay, failed)
		go func() {
			defer both.Done()
			defer close(failed)
			deliver(dst, src, queue, count)
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

// receive reads src and queues the data until src ends or delivery has failed.
func receive(queue chan<- chunk, src net.Conn, delay time.Duration, failed <-chan struct{}) {
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		size, err := src.Read(buf)
		select {
		case queue <- chunk{data: buf[:size], due: time.Now().Add(delay)}:
		case <-failed:
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver writes queued data to dst when it is due. At the end of the queue, it
// closes dst for writing; if a write fails, it closes src.
func deliver(dst, src net.Conn, queue <-chan chunk, count *atomic.Int64) {
	for c := range queue {
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
