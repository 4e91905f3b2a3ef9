package entry_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
)

func TestAnswers(t *testing.T) {
	crash := standin.Faults{Crash: func(*http.Request) bool { return true }}
	tests := map[string]struct {
		method, path, body string
		header             []string
		faults             standin.Faults
		code               result.Code
		status             int
		retryAfter         bool
	}{
		"read":                 {method: "GET", path: "/s/registry/findings/8", code: result.Served, status: 200},
		"read of a large body": {method: "GET", path: "/s/registry/findings/8?size=300000", code: result.Served, status: 200},
		"status passes":        {method: "GET", path: "/s/registry/a?status=404", code: result.Served, status: 404},
		"no content":           {method: "GET", path: "/s/registry/a?status=204", code: result.Served, status: 204},
		"write":                {method: "POST", path: "/s/registry/notes", body: "x", code: result.Served, status: 200},
		"no service":           {method: "GET", path: "/s/other/a", code: result.NoService, status: 404},
		"no class":             {method: "DELETE", path: "/s/registry/a", code: result.NoClass, status: 404},
		"dot segments":         {method: "POST", path: "/s/registry/x/../certificates", code: result.BadRequest, status: 400},
		"encoded dots":         {method: "POST", path: "/s/registry/x/%2e%2E/certificates", code: result.BadRequest, status: 400},
		"encoded slash":        {method: "POST", path: "/s/registry/x%2f..%2fcertificates", code: result.BadRequest, status: 400},
		"backslash":            {method: "POST", path: "/s/registry/x%5c..%5ccertificates", code: result.BadRequest, status: 400},
		"empty segment":        {method: "POST", path: "/s/registry//certificates", code: result.BadRequest, status: 400},
		"dots with parameter":  {method: "POST", path: "/s/registry/x/..;a/certificates", code: result.BadRequest, status: 400},
		"encoded class":        {method: "POST", path: "/s/registry/%63ertificates", code: result.TicketMissing, status: 428},
		"out of the prefix":    {method: "GET", path: "/s/registry/../../v1/lookup/registry", code: result.BadRequest, status: 400},
		"control character":    {method: "GET", path: "/s/registry/a%0d%0ab", code: result.BadRequest, status: 400},
		"bad deadline":         {method: "GET", path: "/s/registry/a", header: []string{result.HeaderDeadline, "-1"}, code: result.BadRequest, status: 400},
		"body too large":       {method: "POST", path: "/s/registry/a", body: strings.Repeat("x", 100<<10+1), code: result.BodyTooLarge, status: 413},
		"no ticket":            {method: "POST", path: "/s/registry/certificates/1", body: "x", code: result.TicketMissing, status: 428},
		"forged ticket":        {method: "POST", path: "/s/registry/certificates/1", body: "x", header: []string{result.HeaderTicket, "AAAA"}, code: result.TicketInvalid, status: 412},
		"all shed":             {method: "GET", path: "/s/registry/a", faults: standin.Faults{Shed: true}, code: result.ShedByServer, status: 503, retryAfter: true},
		"write crashes":        {method: "POST", path: "/s/registry/a", body: "x", faults: crash, code: result.AnswerCut, status: 502},
		"read crashes":         {method: "GET", path: "/s/registry/a", faults: crash, code: result.AnswerCut, status: 502},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 3, 1)
			w.faults(tt.faults)
			got := w.do(w.entries[0], tt.method, tt.path, tt.body, append(tt.header, result.HeaderRequestID, "r1")...)
			is.Equal(got.code, tt.code)
			is.Equal(got.StatusCode, tt.status)
			is.Equal(got.ran, tt.code.Ran().String())
			is.Equal(got.Header.Get("Retry-After") != "", tt.retryAfter)
			if got.ran == "no" {
				is.Equal(w.ran("r1"), 0)
			}
			if tt.status == 200 {
				is.True(strings.HasPrefix(got.body, "r1 server-1 "))
				is.Equal(w.ran("r1"), 1)
			}
			is.True(w.crashes() <= 2)
			w.entries[0].http.Close()
			is.Equal(strings.Count(w.log.String(), "\n"), 1) // one log line
		})
	}
}

func TestHeadersStopAtTheEntry(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	var mu sync.Mutex
	var seen http.Header
	w.faults(standin.Faults{Spoil: func(r *http.Request) standin.Answer {
		mu.Lock()
		defer mu.Unlock()
		seen = r.Header.Clone()
		return standin.Whole
	}})
	got := w.do(w.entries[0], "GET", "/s/registry/a", "", result.HeaderShed, "1", result.HeaderSend, "forged", "Shallotpier-Other", "x",
		"Connection", "X-Hop, Authorization", "X-Hop", "1", "Authorization", "a", "X-End", "2", result.HeaderRequestID, "a b\tcode=1000")
	is.Equal(got.code, result.Served)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(seen.Get(result.HeaderShed), "")
	is.True(strings.HasPrefix(seen.Get(result.HeaderSend), "entry-1-1-"))
	is.Equal(seen.Get("Shallotpier-Other"), "")
	is.Equal(seen.Get("X-Hop"), "")
	is.Equal(seen.Get("Authorization"), "a")
	is.Equal(seen.Get("X-End"), "2")
	is.True(strings.HasPrefix(got.Header.Get(result.HeaderRequestID), "entry-1-")) // an unfit id is replaced
	is.Equal(got.Header.Get(result.HeaderSend), "")
	is.Equal(got.Header.Get(result.HeaderVersion), "7")
}

func TestTrailersAndContinue(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	req, err := http.NewRequest("PUT", w.entries[0].http.URL+"/s/registry/bundle", io.MultiReader(strings.NewReader("abc")))
	is.NoErr(err)
	req.Header.Set("Expect", "100-continue")
	req.Trailer = http.Header{"X-Sum": {"900150983cd2"}}
	resp, err := (&http.Transport{ExpectContinueTimeout: time.Minute}).RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(body), " server-1 3\n"))
	is.Equal(resp.Trailer.Get("X-Sum"), "900150983cd2")
}

// TestRefusedIsNoAttempt has no server that may be used.
func TestRefusedIsNoAttempt(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0, 1)
	got := w.do(w.entries[0], "GET", "/s/registry/a", "")
	is.Equal(got.code, result.NoServer)
	is.Equal(got.Header.Get("Retry-After"), "2")
	w.entries[0].http.Close()
	is.True(strings.Contains(w.log.String(), " attempts=0 "))
}

func TestLookup(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 2)
	got := w.do(w.entries[1], "GET", "/v1/lookup/registry", "")
	is.Equal(got.StatusCode, 200)
	is.Equal(got.Header.Get("Cache-Control"), "private, max-age=10")
	var a lookup.Answer
	is.NoErr(json.Unmarshal([]byte(got.body), &a))
	is.NoErr(a.Check())
	is.Equal(len(a.Entries), 2)
	is.Equal(int(a.Version), 7)
}

// TestReadsOutliveFaults sends reads while one of two servers misbehaves.
func TestReadsOutliveFaults(t *testing.T) {
	tests := map[string]standin.Faults{
		"shed":      {Shed: true},
		"cut":       {Spoil: func(*http.Request) standin.Answer { return standin.Cut }},
		"unframed":  {Spoil: func(*http.Request) standin.Answer { return standin.Unframed }},
		"foreign":   {Spoil: func(*http.Request) standin.Answer { return standin.Foreign }},
		"no answer": {Slower: time.Hour},
		"stuck":     {Spoil: func(*http.Request) standin.Answer { return standin.Stuck }},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newPausedWorld(t, 2, 1)
				w.servers[0].SetFaults(f)
				started := time.Now()
				got := w.do(w.entries[0], "GET", "/s/registry/a", "", result.HeaderRequestID, "r1", result.HeaderDeadline, "1500")
				is.Equal(got.code, result.Served)
				is.Equal(got.body, "r1 server-2 0\n")
				is.True(time.Since(started) <= 500*time.Millisecond) // a third of the deadline
				if name == "no answer" {
					is.NoErr(w.entries[0].Wait(t.Context()))
					is.Equal(len(w.outcomes), 2)
					is.Equal(w.early, 0) // the slot was in use until the server had stopped
				}
			})
		})
	}
}

// TestSlowReadIsNotGivenUp has every server answer within the deadline, and
// late for each part of it.
func TestSlowReadIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPausedWorld(t, 3, 1)
		w.faults(standin.Faults{Slower: 900 * time.Millisecond})
		got := w.do(w.entries[0], "GET", "/s/registry/a", "", result.HeaderRequestID, "r1", result.HeaderDeadline, "1000")
		is.Equal(got.code, result.Served)
		is.Equal(got.body, "r1 server-1 0\n")
	})
}

// TestWritesAreNotSentAgain sends writes to servers that break off.
func TestWritesAreNotSentAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 1)
	w.servers[0].SetFaults(standin.Faults{Spoil: func(*http.Request) standin.Answer { return standin.Cut }})
	got := w.do(w.entries[0], "POST", "/s/registry/a", "x", result.HeaderRequestID, "r1")
	is.Equal(w.ran("r1"), 1)
	is.Equal(got.code, result.AnswerCut)
}

func TestAnswerThatBreaksOffLooksBroken(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	// The server is lost while an answer too large to be held back is under way.
	w.faults(standin.Faults{Spoil: func(*http.Request) standin.Answer {
		time.AfterFunc(50*time.Millisecond, func() { w.servers[0].Close() })
		return standin.Whole
	}})
	resp, err := http.Get(w.entries[0].http.URL + "/s/registry/a?size=1073741824")
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	is.True(err != nil)
}
