package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/forward"
	"github.com/shallotpier/shallotpier/internal/node"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// linkTime is the time after the loss of its links from which on an entry must serve
	// requests as well as the others.
	linkTime = 3 * time.Second
	// minSent is the least number of requests to each entry that count.
	minSent = 60
	// cutServers is the number of servers, in three availability zones.
	cutServers = 9
)

// cutLink returns the address of a link to a server that is cut: what answers there is
// given by handle, nil for nothing.
func cutLink(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if handle == nil {
		l.Close()
		return l.Addr().String()
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return l.Addr().String()
}

// serversAt returns servers at an address.
func serversAt(address string) []roster.Server {
	var out []roster.Server
	for i := range cutServers {
		out = append(out, roster.Server{
			Name: id.Server(fmt.Sprintf("i-%d", i)), Service: svc, Address: address, Zone: id.Zone(fmt.Sprintf("s-%d", i%3)), Slots: 60,
		})
	}
	return out
}

// relayConfig is a configuration with routes of one kind.
func relayConfig(kind service.Kind) *node.Config {
	r := &route.Route{
		Name: "r", Host: "a.example", Prefix: "/x/", Kind: kind, Attempts: 2, Timeout: 2 * time.Second,
		Parts: []route.Part{{Service: svc, Weight: 1}},
	}
	return &node.Config{Config: forward.Config{Version: 1, Routes: route.NewTable([]*route.Route{r})}, IdleTimeout: time.Minute}
}

// An entry that callers and other entries reach, but that has lost its links to all
// servers, must serve requests as well as the others.
func TestEntryWithoutLinksToServersServes(t *testing.T) {
	reset := func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	tests := map[string]struct {
		kind service.Kind
		link func(net.Conn)
		// cut is the number of entries that have lost their links, of three.
		cut int
	}{
		"connections refused, reads":      {service.Read, nil, 1},
		"connections refused, writes":     {service.Write, nil, 1},
		"connections reset, reads":        {service.Read, reset, 1},
		"two of three entries, reads":     {service.Read, nil, 2},
		"two of three entries, writes":    {service.Write, nil, 2},
		"entries with links are the same": {service.Write, nil, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 3)
			live := slowServer(t, time.Millisecond)
			var all []*node.Node
			for i := range 3 {
				n := runNext(ctx, t, all, 3, ended)
				n.SetBounds(node.Bounds{Grace: grace, RetryLimits: forward.RetryLimits{Share: 0.2, Allowance: 60}})
				n.Configure(relayConfig(tt.kind))
				address := live
				if i < tt.cut {
					address = cutLink(t, tt.link)
				}
				n.Roster.Replace(time.Now(), serversAt(address))
				n.MarkServersListed()
				n.MarkEntriesListed()
				all = append(all, n)
			}
			served := make([]int, len(all))
			sent := 0
			client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
			began := time.Now()
			for sent < minSent {
				counts := time.Since(began) > linkTime
				for i, n := range all {
					status, err := ask(client, n.Self().Callers, fmt.Sprintf("/x/%d", sent))
					if counts && err == nil && status == http.StatusOK {
						served[i]++
					}
				}
				if counts {
					sent++
				}
				time.Sleep(20 * time.Millisecond)
			}
			for i := range all {
				if served[i]*50 < sent*49-10*50 {
					t.Errorf("entry %d served %d of %d requests", i, served[i], sent)
				}
			}
			cancel()
			for range all {
				is.NoErr(<-ended)
			}
		})
	}
}
