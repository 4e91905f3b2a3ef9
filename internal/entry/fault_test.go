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
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// TestReadsOnSilentConnections silences some of the open connections of every
// backend server while reads go on.
func TestReadsOnSilentConnections(t *testing.T) {
	for _, nth := range []int{1, 2} {
		t.Run(fmt.Sprint("one in ", nth), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { readOverSilence(t, nth) })
		})
	}
}

func readOverSilence(t *testing.T, nth int) {
	is := is.New(t)
	w := newPausedWorld(t, 2, 1)
	read := func(n int) {
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				id := fmt.Sprint("r", i)
				got := w.do(w.entries[0], "GET", "/s/registry/a", "", result.HeaderRequestID, id, result.HeaderDeadline, "2000")
				if got.code != result.Served || !strings.HasPrefix(got.body, id+" ") {
					t.Errorf("%s: code %d, body %q", id, got.code, got.body)
				}
			})
		}
		wg.Wait()
	}
	w.faults(standin.Faults{Slower: time.Millisecond}) // so that reads overlap
	read(1)                                            // shows that ids are repeated
	read(12)
	for _, s := range w.servers {
		s.Silence(nth)
	}
	started := time.Now()
	read(12)
	took := time.Since(started)
	got := w.do(w.entries[0], "POST", "/s/registry/a", "x") // a connection of its own
	is.Equal(got.code, result.Served)
	is.NoErr(w.entries[0].Wait(t.Context()))
	unheard := 0
	for _, out := range w.outcomes {
		if !out.Running.IsZero() {
			unheard++
		}
	}
	if nth == 1 {
		// With all of them silent, some read is sure to meet one.
		is.True(took > 100*time.Millisecond)
		is.True(unheard > 0) // slots on silent connections stay in use
	}
}

// TestServersThatAreGone leaves one of three servers, one send, and no budget.
// A connection that fails is not a send.
func TestServersThatAreGone(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newPausedWorld(t, 3, 1)
				w.file.Retry.Attempts = 1
				w.entries[0].Budget = never{}
				w.servers[0].Close()
				w.servers[1].Close()
				for range 5 {
					got := w.do(w.entries[0], method, "/s/registry/a", "")
					is.Equal(got.code, result.Served)
				}
			})
		})
	}
}

// TestSlowCrash has two sends of a read under way when they crash.
func TestSlowCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPausedWorld(t, 5, 1)
		w.faults(standin.Faults{Crash: func(*http.Request) bool {
			time.Sleep(1100 * time.Millisecond)
			return true
		}})
		for range 4 {
			w.do(w.entries[0], "GET", "/s/registry/a", "")
		}
		is.True(w.crashes() <= 2)
	})
}

// TestWhatCountsAsCrash sends the same read over and over.
func TestWhatCountsAsCrash(t *testing.T) {
	tests := map[string]struct {
		spoil standin.Answer
		stop  bool
		want  bool
	}{
		"cut in the middle by a live server": {spoil: standin.Cut},
		"ended without an answer":            {spoil: standin.Nothing, want: true},
		"lost in the middle of the answer":   {spoil: standin.Cut, stop: true, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newPausedWorld(t, 4, 1)
				for _, s := range w.servers {
					s.SetFaults(standin.Faults{Spoil: func(*http.Request) standin.Answer {
						if tt.stop {
							time.AfterFunc(time.Millisecond, func() { s.Close() })
						}
						return tt.spoil
					}})
				}
				for range 3 {
					w.do(w.entries[0], "GET", "/s/registry/a", "")
				}
				got := w.do(w.entries[0], "GET", "/s/registry/a", "")
				is.Equal(got.code == result.Quarantined, tt.want)
			})
		})
	}
}

// TestCrashIsSpreadBeforeTheAnswer lets the news take a while.
func TestCrashIsSpreadBeforeTheAnswer(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newPausedWorld(t, 4, 2)
				w.slowNews = 200 * time.Millisecond
				w.faults(standin.Faults{Crash: func(*http.Request) bool { return true }})
				is.Equal(w.do(w.entries[0], method, "/s/registry/a", "").code, result.AnswerCut)
				is.Equal(w.do(w.entries[1], method, "/s/registry/a", "").code, result.Quarantined)
			})
		})
	}
}

// TestBudgetIsKept leaves nothing to send again.
func TestBudgetIsKept(t *testing.T) {
	tests := map[string]struct {
		faults standin.Faults
		code   result.Code
	}{
		"shed":      {faults: standin.Faults{Shed: true}, code: result.ShedByServer},
		"cut":       {faults: standin.Faults{Spoil: func(*http.Request) standin.Answer { return standin.Cut }}, code: result.AnswerCut},
		"no answer": {faults: standin.Faults{Slower: time.Hour}, code: result.AnswerLate},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newPausedWorld(t, 3, 1)
				w.entries[0].Budget = never{}
				w.faults(tt.faults)
				is.Equal(w.do(w.entries[0], "GET", "/s/registry/a", "", result.HeaderRequestID, "r1").code, tt.code)
				begun := 0
				for _, s := range w.servers {
					begun += s.Record().Begun["r1"]
				}
				is.Equal(begun, 1)
			})
		})
	}
}

func TestCancellationReachesTheServer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	running := make(chan struct{}, 1)
	w.faults(standin.Faults{Slower: time.Hour, Crash: func(*http.Request) bool { running <- struct{}{}; return false }})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", w.entries[0].http.URL+"/s/registry/a", strings.NewReader("x"))
	is.NoErr(err)
	go func() {
		<-running
		cancel()
	}()
	_, err = (&http.Transport{}).RoundTrip(req)
	is.True(err != nil)
	for w.servers[0].Load().Running > 0 {
		time.Sleep(time.Millisecond)
	}
	w.entries[0].http.Close()
	is.NoErr(w.entries[0].Wait(t.Context()))
	is.Equal(len(w.outcomes), 1)
	is.Equal(w.outcomes[0].Code, result.CallerGone)
	is.Equal(w.early, 0)
}

// TestRequestShapes sends what is no clean request. None may reach a backend
// server as more than one request, or past the class that was matched.
func TestRequestShapes(t *testing.T) {
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
		"odd coding":           {give: post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
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
			w := newWorld(t, 1, 1)
			var mu sync.Mutex
			var paths []string
			w.faults(standin.Faults{Spoil: func(r *http.Request) standin.Answer {
				mu.Lock()
				defer mu.Unlock()
				paths = append(paths, r.URL.Path)
				return standin.Whole
			}})
			c, err := net.Dial("tcp", w.entries[0].addr().String())
			is.NoErr(err)
			defer c.Close()
			go func() { _, _ = io.WriteString(c, tt.give) }()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				resp.Body.Close()
				is.Equal(resp.StatusCode < 300, tt.reach > 0)
			}
			c.Close()
			w.entries[0].http.Close()
			mu.Lock()
			defer mu.Unlock()
			is.True(len(paths) <= tt.reach)
			for _, p := range paths {
				is.Equal(p, "/a")
			}
			is.True(!strings.Contains(w.log.String(), "\n\n"))
		})
	}
}
