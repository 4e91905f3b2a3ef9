package probe_test

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/probe"
	"github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// results holds the last results of a prober.
type results struct {
	probe  measured.Value[bool]
	report measured.Value[health.Report]
}

func TestRunReportsHealthAndLoad(t *testing.T) {
	tests := map[string]struct {
		prepare  func(*backend.Server)
		healthy  bool
		refuses  bool
		reported measured.State
	}{
		"healthy":              {prepare: func(*backend.Server) {}, healthy: true, reported: measured.Fresh},
		"failing health check": {prepare: func(s *backend.Server) { s.SetFaults(backend.Faults{Health: http.StatusInternalServerError}) }, reported: measured.Fresh},
		"draining":             {prepare: func(s *backend.Server) { s.Drain() }, refuses: true, reported: measured.Fresh},
		"stopped":              {prepare: func(s *backend.Server) { s.Close() }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &backend.Server{Name: "b-1", Slots: 2, Connections: 10}
			address, err := s.Listen("127.0.0.1:0")
			is.NoErr(err)
			defer s.Close()
			tt.prepare(s)
			got := probeOnce(t, address, nil)
			healthy, state := got.probe.Read(time.Now(), time.Minute)
			is.Equal(state, measured.Fresh)
			is.Equal(healthy, tt.healthy)
			report, state := got.report.Read(time.Now(), time.Minute)
			is.Equal(state, tt.reported)
			is.Equal(report.Refuses, tt.refuses)
			if state == measured.Fresh {
				is.Equal(report.Slots, 2)
			}
		})
	}
}

// A server that answers a probe with a head without end must not fill the memory.
func TestHeadWithoutEndIsNotRead(t *testing.T) {
	is := is.New(t)
	const maxRead = 256 << 10
	var read atomic.Int64
	got := probeOnce(t, netip.MustParseAddrPort("10.0.0.1:80"), func(context.Context, netip.AddrPort) (net.Conn, error) {
		server, client := net.Pipe()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nX-Long: ")
			for read.Load() < 8<<20 {
				n, err := io.WriteString(server, strings.Repeat("x", 1000))
				read.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
		return client, nil
	})
	healthy, state := got.probe.Read(time.Now(), time.Minute)
	is.Equal(state, measured.Fresh)
	is.True(!healthy)
	if n := read.Load(); n > maxRead {
		t.Errorf("read %d bytes, want at most %d", n, maxRead)
	}
}

// probeOnce runs a prober of one server for a single round.
func probeOnce(t *testing.T, address netip.AddrPort, dial func(context.Context, netip.AddrPort) (net.Conn, error)) results {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var got results
	file := &service.File{Service: "registry", Servers: []service.Server{{Name: "b-1", Address: address}}}
	calls := 0
	p := probe.Prober{
		Services: func() []*service.File {
			if calls++; calls > 1 {
				cancel() // the first round has ended
			}
			return []*service.File{file}
		},
		Probed:   func(_ id.Service, _ id.Server, v measured.Value[bool]) { got.probe = v },
		Reported: func(_ id.Service, _ id.Server, v measured.Value[health.Report]) { got.report = v },
		Dial:     dial,
		Rand:     rand.New(rand.NewPCG(1, 1)), Period: time.Hour,
	}
	_ = p.Run(ctx)
	return got
}
