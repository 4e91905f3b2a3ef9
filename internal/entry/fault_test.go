package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/simclock"
	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// TestReadsSucceedDespiteStalledConnections stalls every connection, or every
// second one, to every backend server between reads: no byte arrives on it any
// more. The reads must be hedged over other connections.
func TestReadsSucceedDespiteStalledConnections(t *testing.T) {
	for _, nth := range []int{1, 2} {
		t.Run(fmt.Sprint("one in ", nth), func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) { readOverStalledConnections(t, nth) })
		})
	}
}

func readOverStalledConnections(t *testing.T, nth int) {
	is := is.New(t)
	c := newPipeCluster(t, 2, 1)
	read := func(n int) {
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				id := fmt.Sprint("r", i)
				got := c.do(c.entries[0], "GET", "/s/registry/a", "", result.HeaderRequestID, id, result.HeaderDeadline, "2000")
				if got.code != result.Served || !strings.HasPrefix(got.body, id+" ") {
					t.Errorf("%s: code %d, body %q", id, got.code, got.body)
				}
			})
		}
		wg.Wait()
	}
	c.faults(standin.Faults{ExtraTime: time.Millisecond}) // so that reads are concurrent
	read(1)                                               // the server echoes the send ID, so that connections are kept
	read(12)
	for _, s := range c.servers {
		s.StallConnections(nth)
	}
	started := time.Now()
	read(12)
	took := time.Since(started)
	got := c.do(c.entries[0], "POST", "/s/registry/a", "x") // over a new connection
	is.Equal(got.code, result.Served)
	is.NoErr(c.entries[0].Wait(t.Context()))
	stillRunning := 0
	for _, out := range c.outcomes {
		if !out.RunningUntil.IsZero() {
			stillRunning++
		}
	}
	if nth == 1 {
		// With all connections stalled, at least one read uses a stalled one.
		is.True(took > 100*time.Millisecond)
		is.True(stillRunning > 0) // the slots of requests on stalled connections stay in use
	}
}

// TestConnectFailuresAreNotAttempts stops two of three servers and allows one
// attempt and no retry. A failed connection must not count as an attempt.
func TestConnectFailuresAreNotAttempts(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newPipeCluster(t, 3, 1)
				c.file.Retry.Attempts = 1
				c.entries[0].Budget = never{}
				c.servers[0].Close()
				c.servers[1].Close()
				for range 5 {
					got := c.do(c.entries[0], method, "/s/registry/a", "")
					is.Equal(got.code, result.Served)
				}
			})
		})
	}
}

// TestHedgedCrashesLeadToQuarantine has two sends of one read in progress when
// each crashes its server. The request must not crash a third server.
func TestHedgedCrashesLeadToQuarantine(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newPipeCluster(t, 5, 1)
		c.faults(standin.Faults{Crash: func(*http.Request) bool {
			time.Sleep(1100 * time.Millisecond)
			return true
		}})
		for range 4 {
			c.do(c.entries[0], "GET", "/s/registry/a", "")
		}
		is.True(c.crashes() <= 2)
	})
}

// TestCrashDetection repeats a read whose response fails in different ways.
// Only failures that count as crashes may lead to its quarantine.
func TestCrashDetection(t *testing.T) {
	tests := map[string]struct {
		fault standin.ResponseFault
		stop  bool
		want  bool
	}{
		"truncated by a live server":            {fault: standin.Truncated},
		"closed without a response":             {fault: standin.NoAnswer, want: true},
		"crashed in the middle of the response": {fault: standin.Truncated, stop: true, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newPipeCluster(t, 4, 1)
				for _, s := range c.servers {
					s.SetFaults(standin.Faults{Response: func(*http.Request) standin.ResponseFault {
						if tt.stop {
							time.AfterFunc(time.Millisecond, func() { s.Close() })
						}
						return tt.fault
					}})
				}
				for range 3 {
					c.do(c.entries[0], "GET", "/s/registry/a", "")
				}
				got := c.do(c.entries[0], "GET", "/s/registry/a", "")
				is.Equal(got.code == result.Quarantined, tt.want)
			})
		})
	}
}

// TestCrashReportPrecedesErrorResponse delays crash reports. A caller that has
// received the error response must find the request quarantined at another
// entry.
func TestCrashReportPrecedesErrorResponse(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newPipeCluster(t, 4, 2)
				c.slowReports = 200 * time.Millisecond
				c.faults(standin.Faults{Crash: func(*http.Request) bool { return true }})
				is.Equal(c.do(c.entries[0], method, "/s/registry/a", "").code, result.AnswerCut)
				is.Equal(c.do(c.entries[1], method, "/s/registry/a", "").code, result.Quarantined)
			})
		})
	}
}

// TestNoRetryWithoutBudget sends reads that fail in ways that allow a retry,
// with an exhausted retry budget.
func TestNoRetryWithoutBudget(t *testing.T) {
	tests := map[string]struct {
		faults standin.Faults
		code   result.Code
	}{
		"shed":        {faults: standin.Faults{Shed: true}, code: result.ShedByServer},
		"truncated":   {faults: standin.Faults{Response: func(*http.Request) standin.ResponseFault { return standin.Truncated }}, code: result.AnswerCut},
		"no response": {faults: standin.Faults{ExtraTime: time.Hour}, code: result.AnswerLate},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newPipeCluster(t, 3, 1)
				c.entries[0].Budget = never{}
				c.faults(tt.faults)
				is.Equal(c.do(c.entries[0], "GET", "/s/registry/a", "", result.HeaderRequestID, "r1").code, tt.code)
				started := 0
				for _, s := range c.servers {
					started += s.Record().Started["r1"]
				}
				is.Equal(started, 1)
			})
		})
	}
}

// TestCallerDisconnectCancelsBackendRequest checks that the server stops
// running a request whose caller disconnects, and that the slot is not released
// before.
func TestCallerDisconnectCancelsBackendRequest(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	running := make(chan struct{}, 1)
	c.faults(standin.Faults{ExtraTime: time.Hour, Crash: func(*http.Request) bool { running <- struct{}{}; return false }})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", c.entries[0].http.URL+"/s/registry/a", strings.NewReader("x"))
	is.NoErr(err)
	go func() {
		<-running
		cancel()
	}()
	_, err = (&http.Transport{}).RoundTrip(req)
	is.True(err != nil)
	for c.servers[0].Load().Running > 0 {
		time.Sleep(time.Millisecond)
	}
	c.entries[0].http.Close()
	is.NoErr(c.entries[0].Wait(t.Context()))
	is.Equal(len(c.outcomes), 1)
	is.Equal(c.outcomes[0].Code, result.CallerGone)
	is.Equal(c.early, 0)
}

// TestMalformedRequests sends malformed and ambiguous requests, as used for
// request smuggling. None may reach a backend server as more than one request,
// or with another path than the one whose class was matched.
func TestMalformedRequests(t *testing.T) {
	const get = "GET /s/registry/a HTTP/1.1\r\nHost: x\r\n"
	const post = "POST /s/registry/a HTTP/1.1\r\nHost: x\r\n"
	const smuggled = "GET /s/registry/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	tests := map[string]struct {
		give  string
		reach int
	}{
		"two lengths":          {give: post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
		"length and chunks":    {give: post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", reach: 1},
		"signed length":        {give: post + "Content-Length: +1\r\n\r\na"},
		"unknown coding":       {give: post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
		"two codings":          {give: post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		"bad chunk size":       {give: post + "Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n"},
		"space in a name":      {give: get + "Content-Length : 1\r\n\r\na"},
		"space before a name":  {give: get + " X: 1\r\n\r\n"},
		"bare CR in a value":   {give: get + "X: a\rb\r\n\r\n"},
		"NUL in a value":       {give: get + "X: a\x00b\r\n\r\n"},
		"no host":              {give: "GET /s/registry/a HTTP/1.1\r\n\r\n"},
		"two hosts":            {give: get + "Host: y\r\n\r\n"},
		"HTTP/1.0":             {give: "GET /s/registry/a HTTP/1.0\r\n\r\n"},
		"HTTP/0.9":             {give: "GET /s/registry/a\r\n\r\n"},
		"connect":              {give: "CONNECT /s/registry/a HTTP/1.1\r\nHost: x\r\n\r\n"},
		"trace":                {give: "TRACE /s/registry/a HTTP/1.1\r\nHost: x\r\n\r\n"},
		"absolute form":        {give: "GET http://other/s/registry/a HTTP/1.1\r\nHost: x\r\n\r\n", reach: 1},
		"two tickets":          {give: post + "Shallotpier-Ticket: a\r\nShallotpier-Ticket: b\r\nContent-Length: 0\r\n\r\n"},
		"oversized header":     {give: get + "X: " + strings.Repeat("x", 2<<20) + "\r\n\r\n"},
		"endless header":       {give: get + strings.Repeat("X: a\r\n", 400_000)},
		"body past its length": {give: post + "Content-Length: 1\r\n\r\nab" + smuggled, reach: 1},
		"chunked in upgrade":   {give: get + "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n", reach: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 1, 1)
			var mu sync.Mutex
			var paths []string
			c.faults(standin.Faults{Response: func(r *http.Request) standin.ResponseFault {
				mu.Lock()
				defer mu.Unlock()
				paths = append(paths, r.URL.Path)
				return standin.Intact
			}})
			conn, err := net.Dial("tcp", c.entries[0].addr().String())
			is.NoErr(err)
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, tt.give) }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				resp.Body.Close()
				is.Equal(resp.StatusCode < 300, tt.reach > 0)
			}
			conn.Close()
			c.entries[0].http.Close()
			mu.Lock()
			defer mu.Unlock()
			is.True(len(paths) <= tt.reach)
			for _, p := range paths {
				is.Equal(p, "/a")
			}
			is.True(!strings.Contains(c.log.String(), "\n\n"))
		})
	}
}
