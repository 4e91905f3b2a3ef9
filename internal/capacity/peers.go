package capacity

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/peer/rpc"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	measuredCalls  = 5_000
	heartbeatBytes = 300
	methodEcho     = "capacity.echo"
)

// peerMeasures returns the measures of messages between entries. Both ends run in
// one process, so that the cost of a call includes sending and answering it.
func peerMeasures() []Measure {
	return []Measure{
		{
			Role: "between entries", Quantity: quantityCall, Size: "B of message",
			Sizes: []int{100, 300, 1_000, 3_000, 10_000}, Target: heartbeatBytes, Run: callCost,
		},
		{
			Role: "between entries", Quantity: quantityCallWire, Size: "B of message",
			Sizes: []int{100, 300, 1_000, 3_000, 10_000}, Target: heartbeatBytes, Run: callWireBytes,
		},
		{
			Role: "between entries", Quantity: "connections' heap B, one end", Size: "peers",
			Sizes: []int{10, 20, 40, 80, 160}, Target: 165, Run: connectionHeap,
		},
	}
}

func callCost(size int) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nodes, err := newNodePair(ctx)
	if err != nil {
		return 0, err
	}
	defer nodes.close()
	body := strings.Repeat("x", size)
	var failed error
	cost, err := processorMicros(measuredCalls, func(int) {
		if err := nodes.a.Call(ctx, "b", methodEcho, body, nil); err != nil {
			failed = err
		}
	})
	if failed != nil {
		return 0, eris.Wrap(failed, "call")
	}
	return cost, err
}

func callWireBytes(size int) (float64, error) {
	const rounds = 20
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nodes, err := newNodePair(ctx)
	if err != nil {
		return 0, err
	}
	defer nodes.close()
	body := strings.Repeat("x", size)
	var before int64
	for i := range rounds + 1 {
		if i == 1 { // the first call includes the handshake
			before = nodes.bytes.Load()
		}
		if err := nodes.a.Call(ctx, "b", methodEcho, body, nil); err != nil {
			return 0, eris.Wrap(err, "call")
		}
	}
	return float64(nodes.bytes.Load()-before) / rounds, nil
}

// connectionHeap returns the heap used by one end of n connections. Both ends are in
// this process and of equal size, so it returns half of their heap.
func connectionHeap(n int) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nodes, err := newNodePair(ctx)
	if err != nil {
		return 0, err
	}
	defer nodes.close()
	var failed error
	both := heapBytes(func() any {
		for i := range n {
			node := &rpc.Node{Self: peer.Sender{Instance: "a", Incarnation: id.Incarnation(i + 1)}, Dial: nodes.a.Dial}
			nodes.others = append(nodes.others, node)
			if err := node.Call(ctx, "b", methodEcho, "", nil); err != nil {
				failed = err
			}
		}
		return nodes
	})
	return both / 2, failed
}

type nodePair struct {
	a, b     *rpc.Node
	listener net.Listener
	others   []*rpc.Node
	bytes    atomic.Int64
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func newNodePair(ctx context.Context) (*nodePair, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	p := &nodePair{listener: l}
	dial := func(ctx context.Context, _ id.Instance) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", l.Addr().String())
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, bytes: &p.bytes}, nil
	}
	p.a = &rpc.Node{Self: peer.Sender{Instance: "a", Incarnation: 1}, Dial: dial}
	p.b = &rpc.Node{Self: peer.Sender{Instance: "b", Incarnation: 1}}
	p.b.Register(methodEcho, func(_ context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
		return struct{}{}, nil
	})
	go func() { _ = p.b.Serve(ctx, l) }()
	return p, nil
}

func (p *nodePair) close() {
	p.a.Close()
	p.b.Close()
	p.listener.Close()
	for _, n := range p.others {
		n.Close()
	}
}
