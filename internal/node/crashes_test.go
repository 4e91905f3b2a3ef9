package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/node"
	"github.com/shallotpier/shallotpier/internal/quarantine"
)

const (
	// crashedServers is the number of servers that a request has crashed, one more than
	// an entry tolerates.
	crashedServers = 3
	// reportTime is the time within which all entries must refuse such a request.
	reportTime = 3 * time.Second
)

// A request that has crashed three servers must be refused by all entries, however many
// other requests ran on these servers, and also by an entry that starts afterwards.
func TestCrashReportsReachAllEntries(t *testing.T) {
	tests := map[string]struct {
		// others is the number of other requests that each crash cuts at each entry.
		others int
		// entries is the number of entries, started the number of those that start only
		// after the crashes.
		entries, started int
		// zones is the number of availability zones.
		zones int
	}{
		"no other requests":                          {0, 5, 0, 1},
		"eight other requests at each entry":         {8, 5, 0, 5},
		"entry started after the crashes":            {0, 3, 1, 2},
		"entry started after crashes beside others":  {8, 3, 1, 2},
		"only entry that knows of the crashes is up": {8, 1, 2, 1},
		"reports that leaders of zones relay":        {8, 8, 2, 2},
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
					all = append(all, runNext(ctx, t, all, tt.zones, ended))
				}
			}
			run(tt.entries)
			fp := quarantine.Fingerprint{1}
			for crash := range crashedServers {
				for i, n := range all {
					for other := range tt.others {
						n.Quarantine.RecordCrash(time.Now(), quarantine.Fingerprint{2, byte(crash), byte(i), byte(other)}, quarantine.Origin{Send: "other"})
					}
					if i == crash%len(all) {
						n.Quarantine.RecordCrash(time.Now(), fp, quarantine.Origin{Send: fmt.Sprintf("send-%d", crash)})
					}
					for other := range tt.others {
						n.Quarantine.RecordCrash(time.Now(), quarantine.Fingerprint{3, byte(crash), byte(i), byte(other)}, quarantine.Origin{Send: "other"})
					}
				}
				time.Sleep(300 * time.Millisecond)
			}
			run(tt.started)
			refusing := func() int {
				n := 0
				for _, e := range all {
					if e.Quarantine.Check(time.Now(), fp).Refused {
						n++
					}
				}
				return n
			}
			for end := time.Now().Add(reportTime); refusing() < len(all) && time.Now().Before(end); {
				time.Sleep(20 * time.Millisecond)
			}
			is.Equal(refusing(), len(all))
			cancel()
			for range all {
				is.NoErr(<-ended)
			}
		})
	}
}
