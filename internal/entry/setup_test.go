package entry_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/internal/entry"
	"github.com/shallotpier/shallotpier/internal/once"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/internal/standin/pipe"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

type (
	// world is several entries over several backend servers.
	world struct {
		t        *testing.T
		pipes    *pipe.Network // nil is loopback
		hosts    byte
		slowNews time.Duration
		file     *service.File
		servers  []*standin.Server
		entries  []*entryServer
		outcomes []admission.Outcome
		early    int // slots given back while the server ran the request
		mu       sync.Mutex
		log      strings.Builder
	}

	entryServer struct {
		*entry.Handler
		http *httptest.Server
	}

	// firstFree permits the first server that was not tried.
	firstFree struct{ w *world }

	permit struct {
		w      *world
		server *service.Server
	}

	always struct{}
	never  struct{}

	reply struct {
		*http.Response
		body string
		code result.Code
		ran  string
	}
)

func (a firstFree) Admit(_ context.Context, req *admission.Request) (admission.Permit, error) {
	for i := range req.Service.Servers {
		s := &req.Service.Servers[i]
		tried := false
		for _, name := range req.Tried {
			tried = tried || name == s.Name
		}
		if !tried {
			return &permit{w: a.w, server: s}, nil
		}
	}
	return nil, &admission.RefusedError{Code: result.NoServer, RetryAfter: 2 * time.Second}
}

func (p *permit) Server() *service.Server { return p.server }

func (p *permit) Release(out admission.Outcome) {
	running := 0
	for _, s := range p.w.servers {
		if s.Name == p.server.Name {
			running = s.Load().Running
		}
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if running > 0 && out.Running.IsZero() {
		p.w.early++
	}
	p.w.outcomes = append(p.w.outcomes, out)
}

func (always) First(time.Time, *service.File)      {}
func (always) Retry(time.Time, *service.File) bool { return true }

func (never) First(time.Time, *service.File)      {}
func (never) Retry(time.Time, *service.File) bool { return false }

// Entries and Spread make a world the Lookup and the Spreader of its entries.
func (w *world) Entries(id.Service, netip.Addr) ([]lookup.Entry, time.Duration) {
	var all []lookup.Entry
	for _, e := range w.entries {
		all = append(all, lookup.Entry{Instance: e.Instance, Address: e.addr(), Weight: 1})
	}
	return all, 10 * time.Second
}

func (w *world) Spread(_ context.Context, news quarantine.Sighting) {
	time.Sleep(w.slowNews)
	for _, e := range w.entries {
		e.Quarantine.Learn(time.Now(), news)
	}
}

func (w *world) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.log.Write(p)
}

func (e *entryServer) addr() netip.AddrPort {
	return netip.MustParseAddrPort(e.http.Listener.Addr().String())
}

func newWorld(t *testing.T, servers, entries int) *world {
	return build(&world{t: t}, servers, entries)
}

// newPausedWorld is for tests in a bubble.
func newPausedWorld(t *testing.T, servers, entries int) *world {
	return build(&world{t: t, pipes: new(pipe.Network)}, servers, entries)
}

func (w *world) listen() net.Listener {
	var l net.Listener
	var err error
	if w.pipes == nil {
		l, err = net.Listen("tcp", "127.0.0.1:0")
	} else {
		w.hosts++
		l, err = w.pipes.Listen(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, w.hosts}), 80))
	}
	if err != nil {
		w.t.Fatal(err)
	}
	return l
}

func (w *world) transport() *http.Transport {
	t := &http.Transport{DisableKeepAlives: true}
	if w.pipes != nil {
		t.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
			return w.pipes.Dial(ctx, netip.MustParseAddrPort(addr))
		}
	}
	return t
}

func build(w *world, servers, entries int) *world {
	w.file = &service.File{
		Service: "registry", Retry: service.Retry{Attempts: 3, Budget: 1},
		Classes: []service.Class{
			{Name: "issue", Kind: service.Once, Methods: []string{"POST"}, PathPrefix: "/certificates", Deadline: unit.Duration(5 * time.Second), BodyLimit: unit.MiB},
			{Name: "vault", Kind: service.Upload, Methods: []string{"PUT"}, PathPrefix: "/", Deadline: unit.Duration(time.Hour), BodyLimit: 2 * unit.GiB},
			{Name: "lookup", Kind: service.Read, Methods: []string{"GET", "HEAD"}, PathPrefix: "/", Deadline: unit.Duration(3 * time.Second)},
			{Name: "note", Kind: service.Write, Methods: []string{"POST"}, PathPrefix: "/", Deadline: unit.Duration(3 * time.Second), BodyLimit: 100 * unit.KiB},
		},
	}
	for i := range servers {
		s := &standin.Server{Name: id.Server("server-" + string(rune('1'+i)))}
		l := w.listen()
		addr := netip.MustParseAddrPort(l.Addr().String())
		s.Serve(l)
		w.t.Cleanup(func() { s.Close() })
		w.servers = append(w.servers, s)
		w.file.Servers = append(w.file.Servers, service.Server{Name: s.Name, Address: addr, Zone: "fyn-1", Slots: 6, Connections: 400})
	}
	for i := range entries {
		w.start(id.Instance("entry-"+string(rune('1'+i))), 1)
	}
	return w
}

func (w *world) start(name id.Instance, incarnation id.Incarnation) *entryServer {
	client := &backend.Client{Entries: 7}
	if w.pipes != nil {
		client.Dial = w.pipes.Dial
	}
	h := &entry.Handler{
		Instance: name, Incarnation: incarnation, Started: time.Now(), Admitter: firstFree{w}, Backend: client, Lookup: w,
		Once:       &once.Registry{Instance: name, Incarnation: incarnation, Key: []byte(string(name) + "key")},
		Quarantine: &quarantine.List{Instance: name}, Spread: w, Budget: always{}, Metrics: metrics.NewSet(),
		Log: slog.New(slog.NewTextHandler(w, nil)),
	}
	table := &entry.Table{Version: 7, Services: map[id.Service]*service.File{"registry": w.file}}
	h.Table = func() *entry.Table { return table }
	h.Entry = func(name id.Instance) (netip.AddrPort, bool) {
		for _, e := range w.entries {
			if e.Instance == name {
				return e.addr(), true
			}
		}
		return netip.AddrPort{}, false
	}
	e := &entryServer{Handler: h, http: &httptest.Server{Listener: w.listen(), Config: &http.Server{Handler: h}}}
	e.http.Start()
	w.t.Cleanup(func() {
		e.http.CloseClientConnections()
		e.http.Close()
		h.Backend.CloseIdle()
	})
	w.entries = append(w.entries, e)
	return e
}

func (w *world) do(e *entryServer, method, path, body string, header ...string) reply {
	w.t.Helper()
	var r io.Reader
	if body != "" {
		r = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, e.http.URL+path, r)
	if err != nil {
		w.t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := w.transport().RoundTrip(req)
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	out := reply{Response: resp, body: string(b), ran: resp.Header.Get(result.HeaderRan)}
	for _, info := range result.Codes() {
		if info.Code.String() == resp.Header.Get(result.HeaderCode) {
			out.code = info.Code
		}
	}
	return out
}

func (w *world) ran(requestID string) int {
	sum := 0
	for _, s := range w.servers {
		sum += s.Record().Ran[requestID]
	}
	return sum
}

func (w *world) crashes() int {
	sum := 0
	for _, s := range w.servers {
		sum += s.Record().Crashes
	}
	return sum
}

func (w *world) faults(f standin.Faults) {
	for _, s := range w.servers {
		s.SetFaults(f)
	}
}
