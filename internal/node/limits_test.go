package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/node"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// A limit that one entry has learned, and its end, must reach all entries, also those of
// zones that hear of the others through leaders only, and those that start later.
func TestServerLimitsReachAllEntries(t *testing.T) {
	const servers = 20 // more than fit into one heartbeat
	tests := map[string]struct{ entries, started, zones int }{
		"one zone":               {4, 1, 1},
		"zones of several":       {8, 2, 2},
		"zones of one entry":     {5, 1, 6},
		"only one entry knows":   {1, 2, 2},
		"zone that starts later": {2, 2, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, tt.entries+tt.started)
			var all []*node.Node
			run := func(count int) {
				for range count {
					n := runNext(ctx, t, all, tt.zones, ended)
					for i := range servers {
						n.Roster.Put(time.Now(), roster.Server{Name: id.Server(fmt.Sprintf("i-%d", i)), Service: svc, Address: "10.0.0.1:80", Slots: 6, StartedAt: 7})
					}
					all = append(all, n)
				}
			}
			// known waits until all entries know a limit of all servers.
			known := func(rate unit.Rate) {
				missing := 0
				for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					missing = 0
					for _, n := range all {
						for _, m := range n.Roster.All() {
							if m.Limit(time.Now()) != rate {
								missing++
							}
						}
					}
					if missing == 0 {
						break
					}
				}
				is.Equal(missing, 0)
			}
			run(tt.entries)
			for _, m := range all[0].Roster.All() {
				m.ObserveLimit(time.Now(), 2.5, "r")
			}
			known(2.5)
			run(tt.started)
			known(2.5)
			for _, m := range all[len(all)-1].Roster.All() {
				m.ObserveLimit(time.Now(), 0, "r")
			}
			known(0)
			cancel()
			for range all {
				is.NoErr(<-ended)
			}
		})
	}
}
