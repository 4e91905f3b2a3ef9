package rpc_test

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/peer/rpc"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// pacedConn writes at a rate, and stops after a number of bytes.
type pacedConn struct {
	net.Conn
	rate int // bytes a second
	stop int // bytes until nothing passes any more; 0 means never
	sent int
}

func (c *pacedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if c.stop > 0 && c.sent >= c.stop {
			return len(p), nil
		}
		part := p[written:min(written+1000, len(p))]
		time.Sleep(time.Duration(len(part)) * time.Second / time.Duration(c.rate))
		n, err := c.Conn.Write(part)
		written, c.sent = written+n, c.sent+n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Guards against large answers that never arrive over a slow link, as their transfer takes longer
// than a call may take, and against calls that a stalled answer keeps waiting.
func TestLargeAnswersOverSlowLinks(t *testing.T) {
	tests := map[string]struct {
		size, stop int
		arrives    bool
		after      time.Duration // upper bound
	}{
		"large":              {100_000, 0, true, 5100 * time.Millisecond},
		"stalls":             {100_000, 30_000, false, 1900 * time.Millisecond},
		"stalls at once":     {100_000, 1000, false, 1100 * time.Millisecond},
		"small, in time":     {10_000, 0, true, 600 * time.Millisecond},
		"small, not in time": {10_000, 2000, false, 1100 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				b := &rpc.Node{Self: peer.Sender{Instance: "b", Incarnation: 2}}
				b.Register("read", func(context.Context, peer.Sender, json.RawMessage) (any, error) {
					return strings.Repeat("x", tt.size), nil
				})
				a := &rpc.Node{Self: peer.Sender{Instance: "a", Incarnation: 1}}
				a.Dial = func(context.Context, id.Instance) (net.Conn, error) {
					near, far := net.Pipe()
					go b.ServeConn(ctx, &pacedConn{Conn: far, rate: 20_000, stop: tt.stop})
					return near, nil
				}
				call, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				began := time.Now()
				var text string
				err := a.Call(call, "b", "read", nil, &text)
				is.Equal(err == nil, tt.arrives)
				is.Equal(len(text) == tt.size, tt.arrives)
				is.True(time.Since(began) <= tt.after)
				a.Close()
				b.Close()
				stop()
				time.Sleep(10 * time.Second) // ends handlers and writes
			})
		})
	}
}
