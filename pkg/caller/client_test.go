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

// fakeEntry answers lookups and issues tickets itself, and passes requests to its
// handler.
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
		writeOutcome(w, result.Served)
		_ = json.NewEncoder(w).Encode(lookup.Answer{Service: "registry", Version: e.version, ValidSeconds: e.valid, Entries: e.all()})
	case strings.HasPrefix(r.URL.Path, "/v1/ticket/"):
		writeOutcome(w, result.Served)
		_ = json.NewEncoder(w).Encode(lookup.Ticket{Ticket: "ticket", Entry: e.name, ValidSeconds: 60})
	default:
		e.requests.Add(1)
		e.request(w, r)
	}
}

func writeOutcome(w http.ResponseWriter, code result.Code) {
	info, _ := code.Info()
	w.Header().Set(result.HeaderCode, code.String())
	w.Header().Set(result.HeaderRan, code.Ran().String())
	if info.Status != 0 {
		w.WriteHeader(info.Status)
	}
}

func serve(w http.ResponseWriter, _ *http.Request) {
	writeOutcome(w, result.Served)
	fmt.Fprintln(w, "findings")
}

func refuse(code result.Code) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeOutcome(w, code) }
}

// abort closes the connection without an answer after it read the whole request.
func abort(_ http.ResponseWriter, r *http.Request) {
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
			weight = 1 // only the first is chosen by weight
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
		"served":                      {method: "GET", first: serve, code: result.Served, ran: result.Yes, sends: 1},
		"read after a lost answer":    {method: "GET", first: abort, code: result.Served, ran: result.Yes, sends: 2},
		"write after a lost answer":   {method: "POST", first: abort, ran: result.Unknown, sends: 1},
		"read with unknown outcome":   {method: "GET", first: refuse(result.AnswerCut), code: result.Served, ran: result.Yes, sends: 2},
		"write with unknown outcome":  {method: "POST", first: refuse(result.AnswerCut), code: result.AnswerCut, ran: result.Unknown, sends: 1},
		"write to a leaving entry":    {method: "POST", first: refuse(result.EntryLeaving), code: result.Served, ran: result.Yes, sends: 2},
		"write without capacity":      {method: "POST", first: refuse(result.NoCapacity), code: result.NoCapacity, ran: result.No, sends: 1},
		"write that is quarantined":   {method: "POST", first: refuse(result.Quarantined), code: result.Quarantined, ran: result.No, sends: 1},
		"write without a result code": {method: "POST", first: func(http.ResponseWriter, *http.Request) {}, ran: result.Unknown, sends: 1},
		"read without a result code":  {method: "GET", first: func(http.ResponseWriter, *http.Request) {}, code: result.Served, ran: result.Yes, sends: 2},
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
	abortFirst := func(then http.HandlerFunc) http.HandlerFunc {
		var n atomic.Int32
		return func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) == 1 {
				abort(w, r)
			}
			then(w, r)
		}
	}
	tests := map[string]struct {
		first, second http.HandlerFunc
		code          result.Code
		ran           result.Ran
	}{
		"served":                       {first: serve, code: result.Served, ran: result.Yes},
		"answer lost, replayed":        {first: abortFirst(refuse(result.Replayed)), code: result.Replayed, ran: result.Yes},
		"answer lost, not kept":        {first: abortFirst(refuse(result.AnswerNotKept)), code: result.AnswerNotKept, ran: result.Yes},
		"entry lost, ticket elsewhere": {first: abort, second: refuse(result.TicketElsewhere), code: result.TicketElsewhere, ran: result.Unknown},
		"unknown at the entry":         {first: refuse(result.AnswerCut), code: result.AnswerCut, ran: result.Unknown},
		"answer lost, then served":     {first: abortFirst(serve), code: result.Served, ran: result.Yes},
		"lost, then refused":           {first: abortFirst(refuse(result.Quarantined)), code: result.Quarantined, ran: result.Unknown},
		"entry leaving":                {first: refuse(result.EntryLeaving), code: result.Served, ran: result.Yes},
		"ticket expired unused":        {first: refuse(result.TicketInvalid), code: result.Served, ran: result.Yes},
		"lost, then entry leaving":     {first: abortFirst(refuse(result.EntryLeaving)), code: result.EntryLeaving, ran: result.Unknown},
		"refused, never run":           {first: refuse(result.Quarantined), code: result.Quarantined, ran: result.No},
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

func TestLookupIsCachedAndVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	first, second := &fakeEntry{version: 5, valid: 60}, &fakeEntry{version: 4, valid: 0}
	c := setUp(t, first, second)
	for range 3 {
		a, err := c.Lookup(t.Context(), "registry")
		is.NoErr(err)
		is.Equal(a.Version, id.Version(5))
	}
	is.Equal(first.lookups.Load(), int32(1)) // cached while it is valid

	first.valid = 0
	c = setUp(t, first, second)
	_, err := c.Lookup(t.Context(), "registry")
	is.NoErr(err)
	first.version = 3 // another entry with an older configuration has the address
	a, err := c.Lookup(t.Context(), "registry")
	is.NoErr(err)
	is.Equal(a.Version, id.Version(5))
}

// TestTransportDoesNotRetryWrite guards against the automatic retry of net/http:
// on a reused connection it repeats a request that has an idempotency key and no
// body.
func TestTransportDoesNotRetryWrite(t *testing.T) {
	is := is.New(t)
	e := &fakeEntry{version: 1, valid: 60}
	e.request = func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			abort(w, r)
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

func TestUnreachableEntryReportsRanNo(t *testing.T) {
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

// Example reads findings and issues a certificate at most once.
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
		fmt.Println("not issued, may be retried")
	default:
		fmt.Println("outcome unknown, look up the certificate before a retry")
	}
	// Output:
	// findings
	// <nil>
	// issued
}
