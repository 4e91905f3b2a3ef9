package rpc_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/peer/rpc"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// BenchmarkCall measures a call with its answer over loopback TCP.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{300, 10_000} {
		b.Run(fmt.Sprintf("message=%d", size), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			server := &rpc.Node{Self: peer.Sender{Instance: "b", Incarnation: 1}}
			server.Register("echo", func(context.Context, peer.Sender, json.RawMessage) (any, error) { return nil, nil })
			go func() { _ = server.Serve(b.Context(), l) }()
			client := &rpc.Node{Self: peer.Sender{Instance: "a", Incarnation: 1}, Dial: func(ctx context.Context, _ id.Instance) (net.Conn, error) {
				var d net.Dialer
				return d.DialContext(ctx, "tcp", l.Addr().String())
			}}
			defer client.Close()
			body := strings.Repeat("x", size)
			b.ReportAllocs()
			for b.Loop() {
				if err := client.Call(b.Context(), "b", "echo", body, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
