package wan_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/standin/wan"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

func twoRegions() *deployment.Deployment {
	return &deployment.Deployment{
		Regions: []deployment.Region{{Name: "east", Zones: []id.Zone{"east-1"}}, {Name: "west", Zones: []id.Zone{"west-1"}}},
		Delays:  deployment.Delays{Regions: unit.Duration(20 * time.Millisecond), Clients: unit.Duration(5 * time.Millisecond)},
	}
}

// echo starts a server that returns all received data at the end of its input.
func echo(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				data, _ := io.ReadAll(c)
				c.Write(data)
				c.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func TestDialDelaysBothDirections(t *testing.T) {
	tests := map[string]struct {
		from id.Zone
		min  time.Duration
	}{
		"other region": {from: "west-1", min: 80 * time.Millisecond}, // a round trip for connecting, then both directions
		"same zone":    {from: "east-1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := &wan.Network{Deployment: twoRegions()}
			defer n.Close()
			address := echo(t)
			n.SetZone(address, "east-1")
			start := time.Now()
			c, err := n.Dial(context.Background(), tt.from, address)
			is.NoErr(err)
			sent := make([]byte, 8<<20) // more than can be in flight
			sent[len(sent)-1] = 7
			go func() {
				c.Write(sent)
				c.(*net.TCPConn).CloseWrite()
			}()
			got, err := io.ReadAll(c)
			is.NoErr(err)
			is.Equal(len(got), len(sent))
			is.Equal(got[len(got)-1], byte(7))
			is.True(time.Since(start) >= tt.min)
			if tt.from == "west-1" {
				is.Equal(n.SentBytes()[wan.Direction{From: "west", To: "east"}], int64(len(sent)))
				is.Equal(n.SentBytes()[wan.Direction{From: "east", To: "west"}], int64(len(sent)))
			}
		})
	}
}

func TestDialFailsForUnassignedAddress(t *testing.T) {
	is := is.New(t)
	n := &wan.Network{Deployment: twoRegions()}
	defer n.Close()
	_, err := n.Dial(context.Background(), "east-1", netip.MustParseAddrPort("127.0.0.1:9"))
	is.True(err != nil)
}

func TestCloseClosesConnections(t *testing.T) {
	is := is.New(t)
	n := &wan.Network{Deployment: twoRegions()}
	c, err := n.DialClient(context.Background(), echo(t))
	is.NoErr(err)
	is.NoErr(n.Close())
	is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err = c.Read(make([]byte, 1))
	is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // closed, not a timeout
	_, err = n.DialClient(context.Background(), echo(t))
	is.True(err != nil)
}
