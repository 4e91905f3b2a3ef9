package rpc_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/peer/rpc"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// muteConn discards all writes, without an error, while silent is set.
type muteConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c muteConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// fixture is a node a that dials a node b.
type fixture struct {
	a, b    *rpc.Node
	dials   int
	down    bool
	blocked bool
	silent  *atomic.Bool
}

func newFixture(ctx context.Context) *fixture {
	f := &fixture{}
	f.b = &rpc.Node{Self: peer.Sender{Instance: "b", Incarnation: 2}}
	f.b.Register("echo", func(_ context.Context, from peer.Sender, params json.RawMessage) (any, error) {
		return map[string]any{"from": from, "params": params}, nil
	})
	f.b.Register("slow", func(context.Context, peer.Sender, json.RawMessage) (any, error) {
		time.Sleep(5 * time.Second)
		return nil, nil
	})
	f.b.Register("fail", func(context.Context, peer.Sender, json.RawMessage) (any, error) {
		return nil, errors.New("no")
	})
	f.a = &rpc.Node{Self: peer.Sender{Instance: "a", Incarnation: 1}}
	f.a.Dial = func(context.Context, id.Instance) (net.Conn, error) {
		f.dials++
		if f.down {
			return nil, errors.New("down")
		}
		near, far := net.Pipe()
		if f.blocked {
			return near, nil // nothing reads from the far end
		}
		f.silent = new(atomic.Bool)
		go f.b.ServeConn(ctx, muteConn{far, f.silent})
		return near, nil
	}
	return f
}

func (f *fixture) call(t *testing.T, to id.Instance, method string) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return f.a.Call(ctx, to, method, map[string]int{"x": 1}, nil)
}

func runFixture(t *testing.T, test func(t *testing.T, f *fixture)) {
	simclock.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFixture(ctx)
		test(t, f)
		f.a.Close()
		f.b.Close()
		cancel()
	})
}

func TestCallIdentifiesSender(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		var got struct {
			From   peer.Sender
			Params map[string]int
		}
		is.NoErr(f.a.Call(t.Context(), "b", "echo", map[string]int{"x": 1}, &got))
		is.Equal(got.From, f.a.Self)
		is.Equal(got.Params["x"], 1)
		var e *jsonrpc2.Error
		is.True(errors.As(f.call(t, "b", "fail"), &e))
		is.True(errors.As(f.call(t, "b", "unknown"), &e))
		is.Equal(e.Code, int64(jsonrpc2.CodeMethodNotFound))
		is.Equal(f.dials, 1) // all calls share one connection
	})
}

func TestConnectionToWrongInstanceIsRejected(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is.New(t).True(f.call(t, "c", "echo") != nil)
	})
}

func TestStalledConnectionIsReplaced(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		is.NoErr(f.call(t, "b", "echo"))
		f.silent.Store(true)
		is.True(f.call(t, "b", "echo") != nil)
		is.NoErr(f.call(t, "b", "echo"))
		is.Equal(f.dials, 2)
	})
}

func TestTimeoutOfSlowHandlerKeepsActiveConnection(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		slow := make(chan error)
		is.NoErr(f.call(t, "b", "echo"))
		go func() { slow <- f.call(t, "b", "slow") }()
		time.Sleep(500 * time.Millisecond)
		is.NoErr(f.call(t, "b", "echo"))
		is.True(<-slow != nil)
		is.NoErr(f.call(t, "b", "echo"))
		is.Equal(f.dials, 1)
		time.Sleep(10 * time.Second) // the late answer arrives after its call timed out
	})
}

func TestBlockedWriteEndsAtCallDeadline(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.blocked = true
		start := time.Now()
		is.True(f.call(t, "b", "echo") != nil)
		is.Equal(time.Since(start), time.Second)
	})
}

func TestFailedDialsAreRetriedWithBackoff(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.down = true
		for range 600 { // for a minute
			is.True(f.call(t, "b", "echo") != nil)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(f.dials >= 30 && f.dials <= 70)
		f.down = false
		time.Sleep(2 * time.Second)
		is.NoErr(f.call(t, "b", "echo"))
	})
}

func TestConnectionWithoutHelloIsClosed(t *testing.T) {
	runFixture(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		near, far := net.Pipe()
		go f.b.ServeConn(t.Context(), far)
		start := time.Now()
		_, err := near.Read(make([]byte, 1))
		is.True(err != nil)
		is.Equal(time.Since(start), time.Second)
	})
}

func TestServeOverTCP(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	b := &rpc.Node{Self: peer.Sender{Instance: "b", Incarnation: 1}}
	b.Register("ping", func(context.Context, peer.Sender, json.RawMessage) (any, error) { return "pong", nil })
	served := make(chan error)
	go func() { served <- b.Serve(ctx, l) }()
	a := &rpc.Node{Self: peer.Sender{Instance: "a", Incarnation: 1}, Timeout: 10 * time.Second}
	a.Dial = func(ctx context.Context, _ id.Instance) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", l.Addr().String())
	}
	var got string
	is.NoErr(a.Call(ctx, "b", "ping", nil, &got))
	is.Equal(got, "pong")
	a.Close()
	cancel()
	is.NoErr(<-served)
}
