package backend_test

import (
	"context"
	"io"
	"testing"

	"github.com/shallotpier/shallotpier/internal/backend"
	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// BenchmarkSend compares sends over kept connections with sends over a new
// connection each.
func BenchmarkSend(b *testing.B) {
	for _, method := range []string{"GET", "DELETE"} {
		b.Run(map[string]string{"GET": "kept", "DELETE": "own"}[method], func(b *testing.B) {
			srv := &standin.Server{Name: "one"}
			addr, err := srv.Listen("127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer srv.Close()
			c := &backend.Client{}
			defer c.CloseIdle()
			target := &service.Server{Address: addr, Slots: 6, Connections: 400}
			b.ReportAllocs()
			for b.Loop() {
				resp, err := c.Send(context.Background(), &backend.Request{Server: target, HTTP: request(method, "/a", "r1", ""), ID: "s1"})
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Close()
			}
		})
	}
}
