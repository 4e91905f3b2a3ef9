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

func (w *world) ticket(e *entryServer) string {
	w.t.Helper()
	var k lookup.Ticket
	if err := json.Unmarshal([]byte(w.do(e, "POST", "/v1/ticket/registry", "").body), &k); err != nil {
		w.t.Fatal(err)
	}
	return k.Ticket
}

func (w *world) issue(e *entryServer, ticket string, header ...string) reply {
	return w.do(e, "POST", "/s/registry/certificates/8", "grapes", append(header, result.HeaderTicket, ticket, result.HeaderRequestID, "r1")...)
}

func TestOnceResends(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 2)
	ticket := w.ticket(w.entries[0])
	var wg sync.WaitGroup
	replies := make([]reply, 20)
	for i := range replies {
		wg.Go(func() { replies[i] = w.issue(w.entries[i%2], ticket) })
	}
	wg.Wait()
	replies = append(replies, w.issue(w.entries[0], ticket), w.issue(w.entries[1], ticket))
	served := 0
	for _, r := range replies {
		is.Equal(r.ran, "yes")
		is.Equal(r.body, replies[0].body)
		if r.code == result.Served {
			served++
		}
	}
	is.Equal(served, 1)
	is.Equal(w.ran("r1"), 1)
	other := w.do(w.entries[1], "POST", "/s/registry/certificates/8", "apples", result.HeaderTicket, ticket)
	is.Equal(other.code, result.TicketMismatch)
}

func TestOnceAfterFaults(t *testing.T) {
	cut := standin.Faults{Spoil: func(*http.Request) standin.Answer { return standin.Cut }}
	tests := map[string]struct {
		faults standin.Faults
		fault  func(w *world)
		first  result.Code
		then   result.Code
		ran    int
	}{
		"nothing":                 {first: result.Served, then: result.Replayed, ran: 1},
		"backend server cuts":     {faults: cut, first: result.AnswerCut, then: result.AnswerCut, ran: 1},
		"shed, then well":         {faults: standin.Faults{Shed: true}, fault: func(w *world) { w.faults(standin.Faults{}) }, first: result.ShedByServer, then: result.Served, ran: 1},
		"entry dies":              {fault: func(w *world) { w.entries[0].http.CloseClientConnections(); w.entries[0].http.Close() }, first: result.Served, then: result.TicketElsewhere, ran: 1},
		"entry leaves the list":   {fault: func(w *world) { w.entries = w.entries[1:] }, first: result.Served, then: result.TicketElsewhere, ran: 1},
		"replaced under its name": {fault: func(w *world) { w.start("entry-1", 2); w.entries = w.entries[1:] }, first: result.Served, then: result.TicketElsewhere, ran: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 2, 2)
			w.faults(tt.faults)
			ticket := w.ticket(w.entries[0])
			other := w.entries[1]
			is.Equal(w.issue(w.entries[0], ticket).code, tt.first)
			if tt.fault != nil {
				tt.fault(w)
			}
			is.Equal(w.issue(other, ticket).code, tt.then)
			is.Equal(w.ran("r1"), tt.ran)
		})
	}
}

// TestOnceAtALeavingEntry asks an entry that begins nothing new.
func TestOnceAtALeavingEntry(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	var leaving atomic.Bool
	w.entries[0].Leaving = leaving.Load
	used, unused := w.ticket(w.entries[0]), w.ticket(w.entries[0])
	is.Equal(w.issue(w.entries[0], used).code, result.Served)
	leaving.Store(true)
	is.Equal(w.issue(w.entries[0], used).code, result.Replayed)
	is.Equal(w.issue(w.entries[0], unused).code, result.EntryLeaving)
	is.Equal(w.do(w.entries[0], "GET", "/s/registry/a", "").code, result.EntryLeaving)
	is.Equal(w.ran("r1"), 1)
}

// TestOnceOutlivesItsCaller lets the caller go away while its request runs.
func TestOnceOutlivesItsCaller(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	running := make(chan struct{})
	w.faults(standin.Faults{Crash: func(*http.Request) bool { close(running); time.Sleep(50 * time.Millisecond); return false }})
	ticket := w.ticket(w.entries[0])
	go func() {
		<-running
		w.entries[0].http.CloseClientConnections()
	}()
	req, err := http.NewRequest("POST", w.entries[0].http.URL+"/s/registry/certificates/8", nil)
	is.NoErr(err)
	req.Header.Set(result.HeaderTicket, ticket)
	req.Header.Set(result.HeaderRequestID, "r1")
	if resp, err := (&http.Transport{}).RoundTrip(req); err == nil {
		resp.Body.Close()
		t.Fatal("the connection should have ended")
	}
	got := w.do(w.entries[0], "POST", "/s/registry/certificates/8", "", result.HeaderTicket, ticket, result.HeaderRequestID, "r1")
	is.Equal(got.code, result.Replayed)
	is.Equal(w.ran("r1"), 1)
}

// TestCrashingRequest sends a request that crashes its server over and over
// through all entries.
func TestCrashingRequest(t *testing.T) {
	tests := map[string]struct{ method, path, body string }{
		"read":           {method: "GET", path: "/s/registry/poison"},
		"write":          {method: "POST", path: "/s/registry/poison", body: "x"},
		"upload":         {method: "PUT", path: "/s/registry/poison", body: "xyz"},
		"once-only":      {method: "POST", path: "/s/registry/certificates/poison", body: "x"},
		"read and query": {method: "GET", path: "/s/registry/poison?a=b"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 5, 3)
			w.faults(standin.Faults{Crash: func(r *http.Request) bool { return len(r.URL.Path) >= 6 && r.URL.Path[len(r.URL.Path)-6:] == "poison" }})
			quarantined := 0
			for i := range 12 {
				e := w.entries[i%3]
				var header []string
				if name == "once-only" {
					header = []string{result.HeaderTicket, w.ticket(e)}
				}
				if w.do(e, tt.method, tt.path, tt.body, header...).code == result.Quarantined {
					quarantined++
				}
				other := w.do(e, "GET", "/s/registry/other", "")
				is.Equal(other.code, result.Served) // others are unaffected
			}
			is.True(quarantined >= 10)
			is.True(w.crashes() <= 2)
		})
	}
}
