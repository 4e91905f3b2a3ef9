package entry_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
)

func (c *cluster) ticket(e *entryServer) string {
	c.t.Helper()
	var k lookup.Ticket
	if err := json.Unmarshal([]byte(c.do(e, "POST", "/v1/ticket/registry", "").body), &k); err != nil {
		c.t.Fatal(err)
	}
	return k.Ticket
}

func (c *cluster) issue(e *entryServer, ticket string, header ...string) reply {
	return c.do(e, "POST", "/s/registry/certificates/8", "grapes", append(header, result.HeaderTicket, ticket, result.HeaderRequestID, "r1")...)
}

// TestRetriesOfAtMostOnceRequest sends concurrent and later retries with one
// ticket to both entries. The request must run once, and all must get the same
// response.
func TestRetriesOfAtMostOnceRequest(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	ticket := c.ticket(c.entries[0])
	var wg sync.WaitGroup
	replies := make([]reply, 20)
	for i := range replies {
		wg.Go(func() { replies[i] = c.issue(c.entries[i%2], ticket) })
	}
	wg.Wait()
	replies = append(replies, c.issue(c.entries[0], ticket), c.issue(c.entries[1], ticket))
	served := 0
	for _, r := range replies {
		is.Equal(r.ran, "yes")
		is.Equal(r.body, replies[0].body)
		if r.code == result.Served {
			served++
		}
	}
	is.Equal(served, 1)
	is.Equal(c.ran("r1"), 1)
	other := c.do(c.entries[1], "POST", "/s/registry/certificates/8", "apples", result.HeaderTicket, ticket)
	is.Equal(other.code, result.TicketMismatch)
}

// TestAtMostOnceRetryAfterFault retries at the other entry after a fault of the
// server or of the entry that issued the ticket.
func TestAtMostOnceRetryAfterFault(t *testing.T) {
	truncated := standin.Faults{Response: func(*http.Request) standin.ResponseFault { return standin.Truncated }}
	tests := map[string]struct {
		faults standin.Faults
		fault  func(c *cluster)
		first  result.Code
		retry  result.Code
		ran    int
	}{
		"no fault":            {first: result.Served, retry: result.Replayed, ran: 1},
		"truncated response":  {faults: truncated, first: result.AnswerCut, retry: result.AnswerCut, ran: 1},
		"shed, then healthy":  {faults: standin.Faults{Shed: true}, fault: func(c *cluster) { c.faults(standin.Faults{}) }, first: result.ShedByServer, retry: result.Served, ran: 1},
		"entry stops":         {fault: func(c *cluster) { c.entries[0].http.CloseClientConnections(); c.entries[0].http.Close() }, first: result.Served, retry: result.TicketElsewhere, ran: 1},
		"entry is not listed": {fault: func(c *cluster) { c.entries = c.entries[1:] }, first: result.Served, retry: result.TicketElsewhere, ran: 1},
		"entry is replaced":   {fault: func(c *cluster) { c.start("entry-1", 2); c.entries = c.entries[1:] }, first: result.Served, retry: result.TicketElsewhere, ran: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 2, 2)
			c.faults(tt.faults)
			ticket := c.ticket(c.entries[0])
			other := c.entries[1]
			is.Equal(c.issue(c.entries[0], ticket).code, tt.first)
			if tt.fault != nil {
				tt.fault(c)
			}
			is.Equal(c.issue(other, ticket).code, tt.retry)
			is.Equal(c.ran("r1"), tt.ran)
		})
	}
}

// TestAtMostOnceAtLeavingEntry checks that an entry that is shutting down
// replays responses but accepts no new request.
func TestAtMostOnceAtLeavingEntry(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	var leaving atomic.Bool
	c.entries[0].Leaving = leaving.Load
	used, unused := c.ticket(c.entries[0]), c.ticket(c.entries[0])
	is.Equal(c.issue(c.entries[0], used).code, result.Served)
	leaving.Store(true)
	is.Equal(c.issue(c.entries[0], used).code, result.Replayed)
	is.Equal(c.issue(c.entries[0], unused).code, result.EntryLeaving)
	is.Equal(c.do(c.entries[0], "GET", "/s/registry/a", "").code, result.EntryLeaving)
	is.Equal(c.ran("r1"), 1)
}

// TestAtMostOnceExecutionOutlivesCaller disconnects the caller while its
// request runs. The retry must get the response of that execution.
func TestAtMostOnceExecutionOutlivesCaller(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	running := make(chan struct{})
	c.faults(standin.Faults{Crash: func(*http.Request) bool { close(running); time.Sleep(50 * time.Millisecond); return false }})
	ticket := c.ticket(c.entries[0])
	go func() {
		<-running
		c.entries[0].http.CloseClientConnections()
	}()
	req, err := http.NewRequest("POST", c.entries[0].http.URL+"/s/registry/certificates/8", nil)
	is.NoErr(err)
	req.Header.Set(result.HeaderTicket, ticket)
	req.Header.Set(result.HeaderRequestID, "r1")
	if resp, err := (&http.Transport{}).RoundTrip(req); err == nil {
		resp.Body.Close()
		t.Fatal("the connection should have ended")
	}
	got := c.do(c.entries[0], "POST", "/s/registry/certificates/8", "", result.HeaderTicket, ticket, result.HeaderRequestID, "r1")
	is.Equal(got.code, result.Replayed)
	is.Equal(c.ran("r1"), 1)
}

// TestCrashingRequestIsQuarantined repeats a request that crashes its server at
// all entries, between requests that don't.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	tests := map[string]struct{ method, path, body string }{
		"read":           {method: "GET", path: "/s/registry/poison"},
		"write":          {method: "POST", path: "/s/registry/poison", body: "x"},
		"upload":         {method: "PUT", path: "/s/registry/poison", body: "xyz"},
		"at-most-once":   {method: "POST", path: "/s/registry/certificates/poison", body: "x"},
		"read and query": {method: "GET", path: "/s/registry/poison?a=b"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 5, 3)
			c.faults(standin.Faults{Crash: func(r *http.Request) bool { return len(r.URL.Path) >= 6 && r.URL.Path[len(r.URL.Path)-6:] == "poison" }})
			quarantined := 0
			for i := range 12 {
				e := c.entries[i%3]
				var header []string
				if name == "at-most-once" {
					header = []string{result.HeaderTicket, c.ticket(e)}
				}
				if c.do(e, tt.method, tt.path, tt.body, header...).code == result.Quarantined {
					quarantined++
				}
				other := c.do(e, "GET", "/s/registry/other", "")
				is.Equal(other.code, result.Served) // other requests are unaffected
			}
			is.True(quarantined >= 10)
			is.True(c.crashes() <= 2)
		})
	}
}
