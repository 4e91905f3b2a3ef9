package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/caller"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// fakeEntry answers look-ups and tickets, and requests with its handler.
type fakeEntry struct {
	name     id.Instance
	version  id.Version
	valid    int
	all      func() []lookup.Entry
	request  http.HandlerFunc
	lookups  atomic.Int32
	requests atomic.Int32
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(result.HeaderEntry, string(e.name))
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/lookup/"):
		e.lookups.Add(1)
		say(w, result.Served)
		_ = json.NewEncoder(w).Encode(lookup.Answer{Service: "registry", Version: e.version, ValidSeconds: e.valid, Entries: e.all()})
	case strings.HasPrefix(r.URL.Path, "/v1/ticket/"):
		say(w, result.Served)
		_ = json.NewEncoder(w).Encode(lookup.Ticket{Ticket: "ticket", Entry: e.name, ValidSeconds: 60})
	default:
		e.requests.Add(1)
		e.request(w, r)
	}
}

func say(w http.ResponseWriter, code result.Code) {
	info, _ := code.Info()
	w.Header().Set(result.HeaderCode, code.String())
	w.Header().Set(result.HeaderRan, code.Ran().String())
	if info.Status != 0 {
		w.WriteHeader(info.Status)
	}
}

func serve(w http.ResponseWriter, _ *http.Request) {
	say(w, result.Served)
	fmt.Fprintln(w, "findings")
}

func refuse(code result.Code) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { say(w, code) }
}

// hangUp ends the connection after the whole request has come.
func hangUp(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func setUp(t testing.TB, entries ...*fakeEntry) *caller.Client {
	c := &caller.Client{Transport: &http.Transport{}}
	var all []lookup.Entry
	for i, e := range entries {
		e.name = id.Instance(fmt.Sprint("entry-", i+1))
		e.all = func() []lookup.Entry { return all }
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		addr := netip.MustParseAddrPort(s.Listener.Addr().String())
		weight := 0
		if i == 0 {
			weight = 1 // the first is tried first
		}
		all = append(all, lookup.Entry{Instance: e.name, Address: addr, Weight: weight})
		c.Entries = append(c.Entries, addr)
	}
	t.Cleanup(c.Transport.CloseIdleConnections)
	return c
}

func TestDo(t *testing.T) {
	tests := map[string]struct {
		method string
		first  http.HandlerFunc
		code   result.Code
		ran    result.Ran
		sends  int32
	}{
		"served":                          {method: "GET", first: serve, code: result.Served, ran: result.Yes, sends: 1},
		"read after a lost answer":        {method: "GET", first: hangUp, code: result.Served, ran: result.Yes, sends: 2},
		"write after a lost answer":       {method: "POST", first: hangUp, ran: result.Unknown, sends: 1},
		"read after an unknown":           {method: "GET", first: refuse(result.AnswerCut), code: result.Served, ran: result.Yes, sends: 2},
		"write after an unknown":          {method: "POST", first: refuse(result.AnswerCut), code: result.AnswerCut, ran: result.Unknown, sends: 1},
		"write to a leaving entry":        {method: "POST", first: refuse(result.EntryLeaving), code: result.Served, ran: result.Yes, sends: 2},
		"write without capacity":          {method: "POST", first: refuse(result.NoCapacity), code: result.NoCapacity, ran: result.No, sends: 1},
		"write that was quarantined":      {method: "POST", first: refuse(result.Quarantined), code: result.Quarantined, ran: result.No, sends: 1},
		"answer that says nothing of it":  {method: "POST", first: func(http.ResponseWriter, *http.Request) {}, ran: result.Unknown, sends: 1},
		"read with an answer of no entry": {method: "GET", first: func(http.ResponseWriter, *http.Request) {}, code: result.Served, ran: result.Yes, sends: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := &fakeEntry{version: 1, valid: 60, request: tt.first}, &fakeEntry{version: 1, valid: 60, request: serve}
			c := setUp(t, first, second)
			ans, err := c.Do(t.Context(), &caller.Request{Service: "registry", Method: tt.method, Path: "/a", Header: http.Header{"Idempotency-Key": {"k"}}})
			code, ran := outcome(ans, err)
			is.Equal(code, tt.code)
			is.Equal(ran, tt.ran)
			is.Equal(first.requests.Load()+second.requests.Load(), tt.sends)
		})
	}
}

func outcome(ans *caller.Answer, err error) (result.Code, result.Ran) {
	var e *caller.Error
	if errors.As(err, &e) {
		return e.Code, e.Ran
	}
	ans.Body.Close()
	return ans.Code, ans.Ran
}

func TestOnce(t *testing.T) {
	lose := func(then http.HandlerFunc) http.HandlerFunc {
		var n atomic.Int32
		return func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) == 1 {
				hangUp(w, r)
			}
			then(w, r)
		}
	}
	tests := map[string]struct {
		first, second http.HandlerFunc
		code          result.Code
		ran           result.Ran
	}{
		"served":                     {first: serve, code: result.Served, ran: result.Yes},
		"answer lost, replayed":      {first: lose(refuse(result.Replayed)), code: result.Replayed, ran: result.Yes},
		"answer lost, not kept":      {first: lose(refuse(result.AnswerNotKept)), code: result.AnswerNotKept, ran: result.Yes},
		"entry lost, elsewhere":      {first: hangUp, second: refuse(result.TicketElsewhere), code: result.TicketElsewhere, ran: result.Unknown},
		"unknown at the entry":       {first: refuse(result.AnswerCut), code: result.AnswerCut, ran: result.Unknown},
		"shed, then served":          {first: lose(serve), code: result.Served, ran: result.Yes},
		"lost, then refused unrun":   {first: lose(refuse(result.Quarantined)), code: result.Quarantined, ran: result.Unknown},
		"entry leaves":               {first: refuse(result.EntryLeaving), code: result.Served, ran: result.Yes},
		"ticket ended unused":        {first: refuse(result.TicketInvalid), code: result.Served, ran: result.Yes},
		"lost, then entry leaves":    {first: lose(refuse(result.EntryLeaving)), code: result.EntryLeaving, ran: result.Unknown},
		"refused unrun, never begun": {first: refuse(result.Quarantined), code: result.Quarantined, ran: result.No},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			second := tt.second
			if second == nil {
				second = serve
			}
			c := setUp(t, &fakeEntry{version: 1, valid: 60, request: tt.first}, &fakeEntry{version: 1, valid: 60, request: second})
			code, ran := outcome(c.Once(t.Context(), &caller.Request{Service: "registry", Method: "POST", Path: "/certificates/8", Body: []byte("x")}))
			is.Equal(code, tt.code)
			is.Equal(ran, tt.ran)
		})
	}
}

func TestLookupIsKeptAndNeverFalls(t *testing.T) {
	is := is.New(t)
	first, second := &fakeEntry{version: 5, valid: 60}, &fakeEntry{version: 4, valid: 0}
	c := setUp(t, first, second)
	for range 3 {
		a, err := c.Lookup(t.Context(), "registry")
		is.NoErr(err)
		is.Equal(a.Version, id.Version(5))
	}
	is.Equal(first.lookups.Load(), int32(1)) // kept while it is valid

	first.valid = 0
	c = setUp(t, first, second)
	_, err := c.Lookup(t.Context(), "registry")
	is.NoErr(err)
	first.version = 3 // replaced by one that is behind
	a, err := c.Lookup(t.Context(), "registry")
	is.NoErr(err)
	is.Equal(a.Version, id.Version(5))
}

// TestWriteIsNotSentAgainByTheTransport sends a write with an idempotency key
// and no body, which net/http sends again on a connection that it had kept.
func TestWriteIsNotSentAgainByTheTransport(t *testing.T) {
	is := is.New(t)
	e := &fakeEntry{version: 1, valid: 60}
	e.request = func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			hangUp(w, r)
		}
		serve(w, r)
	}
	c := setUp(t, e)
	for _, method := range []string{"GET", "POST"} {
		ans, err := c.Do(t.Context(), &caller.Request{Service: "registry", Method: method, Path: "/a", Header: http.Header{"Idempotency-Key": {"k"}}})
		if err == nil {
			_, _ = io.Copy(io.Discard, ans.Body)
			ans.Body.Close()
		}
	}
	is.Equal(e.requests.Load(), int32(2))
}

func TestNoEntryIsNo(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	c := &caller.Client{Entries: []netip.AddrPort{addr}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, ran := outcome(c.Do(ctx, &caller.Request{Service: "registry", Method: "POST", Path: "/a"}))
	is.Equal(ran, result.No)
}

// Example looks findings up and issues a certificate at most once.
func Example() {
	entry := &fakeEntry{name: "entry-1", version: 1, valid: 60, request: serve}
	server := httptest.NewServer(entry)
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	entry.all = func() []lookup.Entry { return []lookup.Entry{{Instance: "entry-1", Address: address, Weight: 1}} }

	c := &caller.Client{Entries: []netip.AddrPort{address}}
	ctx := context.Background()
	ans, err := c.Do(ctx, &caller.Request{Service: "registry", Method: "GET", Path: "/findings/8"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer ans.Body.Close()
	body, err := io.ReadAll(ans.Body)
	fmt.Print(string(body), err, "\n")

	_, err = c.Once(ctx, &caller.Request{Service: "registry", Method: "POST", Path: "/certificates/8", Body: []byte("{}")})
	var failed *caller.Error
	switch {
	case err == nil:
		fmt.Println("issued")
	case errors.As(err, &failed) && failed.Ran == result.No:
		fmt.Println("not issued, may be made anew")
	default:
		fmt.Println("look the certificate up before it is made anew")
	}
	// Output:
	// findings
	// <nil>
	// issued
}
