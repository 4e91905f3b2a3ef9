package entry_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/simclock"
	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
)

func TestResponses(t *testing.T) {
	crash := standin.Faults{Crash: func(*http.Request) bool { return true }}
	tests := map[string]struct {
		method, path, body string
		header             []string
		faults             standin.Faults
		code               result.Code
		status             int
		retryAfter         bool
	}{
		"read":                     {method: "GET", path: "/s/registry/findings/8", code: result.Served, status: 200},
		"read of a large body":     {method: "GET", path: "/s/registry/findings/8?size=300000", code: result.Served, status: 200},
		"status is forwarded":      {method: "GET", path: "/s/registry/a?status=404", code: result.Served, status: 404},
		"no content":               {method: "GET", path: "/s/registry/a?status=204", code: result.Served, status: 204},
		"write":                    {method: "POST", path: "/s/registry/notes", body: "x", code: result.Served, status: 200},
		"no service":               {method: "GET", path: "/s/other/a", code: result.NoService, status: 404},
		"no class":                 {method: "DELETE", path: "/s/registry/a", code: result.NoClass, status: 404},
		"dot segments":             {method: "POST", path: "/s/registry/x/../certificates", code: result.BadRequest, status: 400},
		"encoded dots":             {method: "POST", path: "/s/registry/x/%2e%2E/certificates", code: result.BadRequest, status: 400},
		"encoded slash":            {method: "POST", path: "/s/registry/x%2f..%2fcertificates", code: result.BadRequest, status: 400},
		"backslash":                {method: "POST", path: "/s/registry/x%5c..%5ccertificates", code: result.BadRequest, status: 400},
		"empty segment":            {method: "POST", path: "/s/registry//certificates", code: result.BadRequest, status: 400},
		"dots with parameter":      {method: "POST", path: "/s/registry/x/..;a/certificates", code: result.BadRequest, status: 400},
		"encoded class":            {method: "POST", path: "/s/registry/%63ertificates", code: result.TicketMissing, status: 428},
		"dot segments past prefix": {method: "GET", path: "/s/registry/../../v1/lookup/registry", code: result.BadRequest, status: 400},
		"control character":        {method: "GET", path: "/s/registry/a%0d%0ab", code: result.BadRequest, status: 400},
		"bad deadline":             {method: "GET", path: "/s/registry/a", header: []string{result.HeaderDeadline, "-1"}, code: result.BadRequest, status: 400},
		"body too large":           {method: "POST", path: "/s/registry/a", body: strings.Repeat("x", 100<<10+1), code: result.BodyTooLarge, status: 413},
		"no ticket":                {method: "POST", path: "/s/registry/certificates/1", body: "x", code: result.TicketMissing, status: 428},
		"forged ticket":            {method: "POST", path: "/s/registry/certificates/1", body: "x", header: []string{result.HeaderTicket, "AAAA"}, code: result.TicketInvalid, status: 412},
		"shed by all servers":      {method: "GET", path: "/s/registry/a", faults: standin.Faults{Shed: true}, code: result.ShedByServer, status: 503, retryAfter: true},
		"write crashes":            {method: "POST", path: "/s/registry/a", body: "x", faults: crash, code: result.AnswerCut, status: 502},
		"read crashes":             {method: "GET", path: "/s/registry/a", faults: crash, code: result.AnswerCut, status: 502},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3, 1)
			c.faults(tt.faults)
			got := c.do(c.entries[0], tt.method, tt.path, tt.body, append(tt.header, result.HeaderRequestID, "r1")...)
			is.Equal(got.code, tt.code)
			is.Equal(got.StatusCode, tt.status)
			is.Equal(got.ran, tt.code.Ran().String())
			is.Equal(got.Header.Get("Retry-After") != "", tt.retryAfter)
			if got.ran == "no" {
				is.Equal(c.ran("r1"), 0)
			}
			if tt.status == 200 {
				is.True(strings.HasPrefix(got.body, "r1 server-1 "))
				is.Equal(c.ran("r1"), 1)
			}
			is.True(c.crashes() <= 2)
			c.entries[0].http.Close()
			is.Equal(strings.Count(c.log.String(), "\n"), 1) // one log line
		})
	}
}

// TestSystemAndHopByHopHeadersAreNotForwarded checks the headers of both
// directions.
func TestSystemAndHopByHopHeadersAreNotForwarded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	var mu sync.Mutex
	var seen http.Header
	c.faults(standin.Faults{Response: func(r *http.Request) standin.ResponseFault {
		mu.Lock()
		defer mu.Unlock()
		seen = r.Header.Clone()
		return standin.Intact
	}})
	got := c.do(c.entries[0], "GET", "/s/registry/a", "", result.HeaderShed, "1", result.HeaderSend, "forged", "Shallotpier-Other", "x",
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
	is.True(strings.HasPrefix(got.Header.Get(result.HeaderRequestID), "entry-1-")) // an invalid ID is replaced
	is.Equal(got.Header.Get(result.HeaderSend), "")
	is.Equal(got.Header.Get(result.HeaderVersion), "7")
}

func TestTrailersAndExpectContinueAreForwarded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	req, err := http.NewRequest("PUT", c.entries[0].http.URL+"/s/registry/bundle", io.MultiReader(strings.NewReader("abc")))
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

// TestRejectedAdmissionIsNoAttempt sends a request while there is no server.
// The log line must not count an attempt.
func TestRejectedAdmissionIsNoAttempt(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 0, 1)
	got := c.do(c.entries[0], "GET", "/s/registry/a", "")
	is.Equal(got.code, result.NoServer)
	is.Equal(got.Header.Get("Retry-After"), "2")
	c.entries[0].http.Close()
	is.True(strings.Contains(c.log.String(), " attempts=0 "))
}

func TestLookup(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	got := c.do(c.entries[1], "GET", "/v1/lookup/registry", "")
	is.Equal(got.StatusCode, 200)
	is.Equal(got.Header.Get("Cache-Control"), "private, max-age=10")
	var a lookup.Answer
	is.NoErr(json.Unmarshal([]byte(got.body), &a))
	is.NoErr(a.Check())
	is.Equal(len(a.Entries), 2)
	is.Equal(int(a.Version), 7)
}

// TestReadsSucceedWithOneFaultyServer sends reads while one of two servers
// fails in different ways.
func TestReadsSucceedWithOneFaultyServer(t *testing.T) {
	tests := map[string]standin.Faults{
		"shed":           {Shed: true},
		"truncated":      {Response: func(*http.Request) standin.ResponseFault { return standin.Truncated }},
		"without length": {Response: func(*http.Request) standin.ResponseFault { return standin.Unframed }},
		"other send ID":  {Response: func(*http.Request) standin.ResponseFault { return standin.WrongSendID }},
		"no response":    {ExtraTime: time.Hour},
		"stalled":        {Response: func(*http.Request) standin.ResponseFault { return standin.Stalled }},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newPipeCluster(t, 2, 1)
				c.servers[0].SetFaults(f)
				started := time.Now()
				got := c.do(c.entries[0], "GET", "/s/registry/a", "", result.HeaderRequestID, "r1", result.HeaderDeadline, "1500")
				is.Equal(got.code, result.Served)
				is.Equal(got.body, "r1 server-2 0\n")
				is.True(time.Since(started) <= 500*time.Millisecond) // a third of the deadline
				if name == "no response" {
					is.NoErr(c.entries[0].Wait(t.Context()))
					is.Equal(len(c.outcomes), 2)
					is.Equal(c.early, 0) // the slot was in use until the server had stopped the request
				}
			})
		})
	}
}

// TestSlowReadIsNotCancelled has every server respond within the deadline, but
// later than the timeout of each attempt. Hedging must not cancel the first
// one.
func TestSlowReadIsNotCancelled(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newPipeCluster(t, 3, 1)
		c.faults(standin.Faults{ExtraTime: 900 * time.Millisecond})
		got := c.do(c.entries[0], "GET", "/s/registry/a", "", result.HeaderRequestID, "r1", result.HeaderDeadline, "1000")
		is.Equal(got.code, result.Served)
		is.Equal(got.body, "r1 server-1 0\n")
	})
}

// TestWritesAreNotRetried sends a write to a server that truncates its
// response.
func TestWritesAreNotRetried(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1)
	c.servers[0].SetFaults(standin.Faults{Response: func(*http.Request) standin.ResponseFault { return standin.Truncated }})
	got := c.do(c.entries[0], "POST", "/s/registry/a", "x", result.HeaderRequestID, "r1")
	is.Equal(c.ran("r1"), 1)
	is.Equal(got.code, result.AnswerCut)
}

// TestTruncatedResponseAbortsConnection guards against a truncated response
// that looks complete to the caller.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	// The server crashes while a response too large to be buffered is
	// forwarded.
	c.faults(standin.Faults{Response: func(*http.Request) standin.ResponseFault {
		time.AfterFunc(50*time.Millisecond, func() { c.servers[0].Close() })
		return standin.Intact
	}})
	resp, err := http.Get(c.entries[0].http.URL + "/s/registry/a?size=1073741824")
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	is.True(err != nil)
}
