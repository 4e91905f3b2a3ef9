package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/platform/standin"
)

// A server ran a request that no caller sent, and the check passed over it.
func TestCheckRunsFindsUnaskedRequests(t *testing.T) {
	sent := &attempt{id: "c0-1", method: http.MethodGet, path: "/read/1", interrupted: true}
	tests := map[string]struct {
		request string
		want    string
	}{
		"sent by a caller":                 {request: "c0-1"},
		"sent by no caller":                {request: "c0-2", want: "unasked:"},
		"without an id, sent by no caller": {request: "", want: "unasked:"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &checker{
				byID: map[string]*attempt{sent.id: sent},
				runs: map[string][]standin.Run{tt.request: {{Request: tt.request, Method: sent.method, Path: sent.path}}},
			}
			c.checkRuns()
			if tt.want == "" {
				is.Equal(len(c.violations), 0)
				return
			}
			is.Equal(len(c.violations), 1)
			is.True(strings.HasPrefix(c.violations[0], tt.want))
		})
	}
}

// A request that crashes servers reached more of them than the rule allows, and the
// check passed over it, or blamed entries that were out of touch.
func TestCheckCrashingCountsSendsOfEntriesInTouch(t *testing.T) {
	tests := map[string]struct {
		runs      []time.Duration // since the start, each on another server
		restarted time.Duration   // of the entry
		held      time.Duration   // the path to all servers is stalled
		want      int             // violations
	}{
		"three sends after the window":          {runs: seconds(0, 1, 2, 6, 7, 8)},
		"four sends after the window":           {runs: seconds(0, 1, 2, 6, 7, 8, 9), want: 1},
		"sends inside the window":               {runs: seconds(0, 1, 2, 3, 4, 4.9, 6, 7, 8)},
		"one send out of touch":                 {runs: seconds(0, 1, 2, 6, 7, 8, 9), restarted: 7500 * time.Millisecond},
		"one send held up on its way":           {runs: seconds(0, 1, 2, 6, 7, 8, 9), held: 7500 * time.Millisecond},
		"four sends later than the stable time": {runs: seconds(0, 1, 2, 6, 7, 8, 9), restarted: time.Second, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			entry, b := &process{}, &backend{}
			c := &checker{soak: &soak{start: start, named: make(map[id.Server]*backend)}, byID: make(map[string]*attempt), runs: make(map[string][]standin.Run)}
			if tt.restarted > 0 {
				entry.outOfTouch.spans = [][2]time.Time{{start.Add(tt.restarted), start.Add(tt.restarted)}}
			}
			if tt.held > 0 {
				b.disturbance.spans = [][2]time.Time{{start.Add(tt.held), start.Add(tt.held)}}
			}
			for i, at := range tt.runs {
				request, server := string(rune('a'+i)), id.Server(rune('A'+i))
				c.byID[request] = &attempt{id: request, crashing: true, entry: entry}
				c.runs[request] = []standin.Run{{Request: request, Server: server, At: start.Add(at)}}
				c.soak.named[server] = b
			}
			is.Equal(c.checkCrashing(), len(tt.runs))
			is.Equal(len(c.violations), tt.want)
		})
	}
}

// Requests for one path stayed refused at an entry, and the share of all requests that
// were served hid it.
func TestCheckRefusedFindsPathsThatAreNeverServed(t *testing.T) {
	tests := map[string]struct {
		refused, served, servedElsewhere int
		want                             int
	}{
		"all refused":             {refused: minRepeats, want: 1},
		"one served":              {refused: minRepeats, served: 1},
		"served by another entry": {refused: minRepeats, servedElsewhere: 1, want: 1},
		"too few to conclude":     {refused: minRepeats - 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entry, other := &process{}, &process{}
			var recovery []*attempt
			add := func(n, status int, e *process) {
				for range n {
					recovery = append(recovery, &attempt{path: "/read/1", entry: e, status: status})
				}
			}
			add(tt.refused, http.StatusServiceUnavailable, entry)
			add(tt.served, http.StatusOK, entry)
			add(tt.servedElsewhere, http.StatusOK, other)
			c := &checker{}
			c.checkRefused(recovery)
			is.Equal(len(c.violations), tt.want)
		})
	}
}

func seconds(values ...float64) []time.Duration {
	var out []time.Duration
	for _, v := range values {
		out = append(out, time.Duration(v*float64(time.Second)))
	}
	return out
}

// A cold server got more requests than it takes once the entries had to know of it, and the check
// passed over it, or blamed entries that could not know, or requests held up on their way.
func TestCheckColdCountsRequestsOnceEntriesMustKnow(t *testing.T) {
	tests := map[string]struct {
		registered bool
		failed     time.Duration // of the store, before the server became cold; 0 for none
		count      int           // of the requests
		at         time.Duration // of their arrival
		stalled    time.Duration // end of a stall of the path; 0 for none
		want       int           // violations
	}{
		"as many as it takes":                   {registered: true, count: coldBound, at: 1500 * time.Millisecond},
		"more, registered":                      {registered: true, count: coldBound + 1, at: 1500 * time.Millisecond, want: 1},
		"more, before the registration arrives": {registered: true, count: coldBound + 1, at: 900 * time.Millisecond},
		"more, not registered":                  {count: coldBound + 1, at: 1500 * time.Millisecond},
		"more, store away for long":             {failed: 4 * time.Second, count: coldBound + 1, want: 1},
		"more, store away for a short time":     {failed: 3 * time.Second, count: coldBound + 1},
		"more, at the end of a stall":           {failed: 4 * time.Second, count: coldBound + 1, at: time.Second, stalled: time.Second},
		"more, later than a stall":              {failed: 4 * time.Second, count: coldBound + 1, at: 1500 * time.Millisecond, stalled: time.Second, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			b := &backend{}
			if tt.stalled > 0 {
				b.stalls.spans = [][2]time.Time{{start, start.Add(tt.stalled)}}
			}
			cold := &coldServers{arrivals: make(map[id.Server][]serverArrival)}
			if tt.failed > 0 {
				cold.changes = []time.Time{start.Add(-tt.failed)}
			}
			cold.periods = []coldPeriod{{server: "s-1", backend: b, from: start, to: start.Add(coldTime), registered: tt.registered}}
			for range tt.count {
				cold.recordArrival("s-1", "c0-1", start.Add(tt.at))
			}
			c := &checker{soak: &soak{cold: cold}}
			c.checkCold(&Report{})
			is.Equal(len(c.violations), tt.want)
		})
	}
}
