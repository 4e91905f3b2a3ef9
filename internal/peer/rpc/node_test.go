package rpc_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/peer/rpc"
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
	a, b   *rpc.Node
	dials  int
	down   bool
	stuck  bool
	silent *atomic.Bool
}

func newFixture(ctx context.Context) *fixture {
	w := &fixture{}
	w.b = &rpc.Node{Self: peer.Sender{Instance: "b", Incarnation: 2}}
	w.b.Register("echo", func(_ context.Context, from peer.Sender, params json.RawMessage) (any, error) {
		return map[string]any{"from": from, "params": params}, nil
	})
	w.b.Register("slow", func(context.Context, peer.Sender, json.RawMessage) (any, error) {
		time.Sleep(5 * time.Second)
		return nil, nil
	})
	w.b.Register("fail", func(context.Context, peer.Sender, json.RawMessage) (any, error) {
		return nil, errors.New("no")
	})
	w.a = &rpc.Node{Self: peer.Sender{Instance: "a", Incarnation: 1}}
	w.a.Dial = func(context.Context, id.Instance) (net.Conn, error) {
		w.dials++
		if w.down {
			return nil, errors.New("down")
		}
		near, far := net.Pipe()
		if w.stuck {
			return near, nil // nothing reads from the far end
		}
		w.silent = new(atomic.Bool)
		go w.b.ServeConn(ctx, muteConn{far, w.silent})
		return near, nil
	}
	return w
}

func (w *fixture) call(t *testing.T, to id.Instance, method string) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return w.a.Call(ctx, to, method, map[string]int{"x": 1}, nil)
}

func runFixture(t *testing.T, f func(t *testing.T, w *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newFixture(ctx)
		f(t, w)
		w.a.Close()
		w.b.Close()
		cancel()
	})
}

func TestCallIdentifiesSender(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		var got struct {
			From   peer.Sender
			Params map[string]int
		}
		is.NoErr(w.a.Call(t.Context(), "b", "echo", map[string]int{"x": 1}, &got))
		is.Equal(got.From, w.a.Self)
		is.Equal(got.Params["x"], 1)
		var e *jsonrpc2.Error
		is.True(errors.As(w.call(t, "b", "fail"), &e))
		is.True(errors.As(w.call(t, "b", "unknown"), &e))
		is.Equal(e.Code, int64(jsonrpc2.CodeMethodNotFound))
		is.Equal(w.dials, 1) // all calls share one connection
	})
}

func TestConnectionToWrongInstanceIsRejected(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is.New(t).True(w.call(t, "c", "echo") != nil)
	})
}

func TestStalledConnectionIsReplaced(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		is.NoErr(w.call(t, "b", "echo"))
		w.silent.Store(true)
		is.True(w.call(t, "b", "echo") != nil)
		is.NoErr(w.call(t, "b", "echo"))
		is.Equal(w.dials, 2)
	})
}

func TestTimeoutOfSlowHandlerKeepsActiveConnection(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		slow := make(chan error)
		is.NoErr(w.call(t, "b", "echo"))
		go func() { slow <- w.call(t, "b", "slow") }()
		time.Sleep(500 * time.Millisecond)
		is.NoErr(w.call(t, "b", "echo"))
		is.True(<-slow != nil)
		is.NoErr(w.call(t, "b", "echo"))
		is.Equal(w.dials, 1)
		time.Sleep(10 * time.Second) // the late answer arrives after its call timed out
	})
}

func TestBlockedWriteEndsAtCallDeadline(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		w.stuck = true
		start := time.Now()
		is.True(w.call(t, "b", "echo") != nil)
		is.Equal(time.Since(start), time.Second)
	})
}

func TestFailedDialsAreRetriedWithBackoff(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		w.down = true
		for range 600 { // for a minute
			is.True(w.call(t, "b", "echo") != nil)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(w.dials >= 30 && w.dials <= 70)
		w.down = false
		time.Sleep(2 * time.Second)
		is.NoErr(w.call(t, "b", "echo"))
	})
}

func TestConnectionWithoutHelloIsClosed(t *testing.T) {
	runFixture(t, func(t *testing.T, w *fixture) {
		is := is.New(t)
		near, far := net.Pipe()
		go w.b.ServeConn(t.Context(), far)
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
