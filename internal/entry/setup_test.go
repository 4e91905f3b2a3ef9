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
	// cluster is a set of entries and backend servers. slowReports delays crash
	// reports.
	cluster struct {
		t           *testing.T
		pipes       *pipe.Network // nil means loopback
		hosts       byte
		slowReports time.Duration
		file        *service.File
		servers     []*standin.Server
		entries     []*entryServer
		outcomes    []admission.Outcome
		early       int // slots released while the server was running the request
		mu          sync.Mutex
		log         strings.Builder
	}

	entryServer struct {
		*entry.Handler
		http *httptest.Server
	}

	// firstFree permits the first server that has not been tried.
	firstFree struct{ c *cluster }

	permit struct {
		c      *cluster
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
			return &permit{c: a.c, server: s}, nil
		}
	}
	return nil, &admission.RefusedError{Code: result.NoServer, RetryAfter: 2 * time.Second}
}

func (p *permit) Server() *service.Server { return p.server }

func (p *permit) Release(out admission.Outcome) {
	running := 0
	for _, s := range p.c.servers {
		if s.Name == p.server.Name {
			running = s.Load().Running
		}
	}
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	if running > 0 && out.RunningUntil.IsZero() {
		p.c.early++
	}
	p.c.outcomes = append(p.c.outcomes, out)
}

func (always) CountFirst(time.Time, *service.File)     {}
func (always) TakeRetry(time.Time, *service.File) bool { return true }

func (never) CountFirst(time.Time, *service.File)     {}
func (never) TakeRetry(time.Time, *service.File) bool { return false }

// Entries and Broadcast implement Lookup and CrashReporter for the entries.
func (c *cluster) Entries(id.Service, netip.Addr) ([]lookup.Entry, time.Duration) {
	var all []lookup.Entry
	for _, e := range c.entries {
		all = append(all, lookup.Entry{Instance: e.Instance, Address: e.addr(), Weight: 1})
	}
	return all, 10 * time.Second
}

func (c *cluster) Broadcast(_ context.Context, report quarantine.CrashReport) {
	time.Sleep(c.slowReports)
	for _, e := range c.entries {
		e.Quarantine.Apply(time.Now(), report)
	}
}

func (c *cluster) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Write(p)
}

func (e *entryServer) addr() netip.AddrPort {
	return netip.MustParseAddrPort(e.http.Listener.Addr().String())
}

func newCluster(t *testing.T, servers, entries int) *cluster {
	return build(&cluster{t: t}, servers, entries)
}

// newPipeCluster connects over in-memory pipes, for tests in a synctest bubble.
func newPipeCluster(t *testing.T, servers, entries int) *cluster {
	return build(&cluster{t: t, pipes: new(pipe.Network)}, servers, entries)
}

func (c *cluster) listen() net.Listener {
	var l net.Listener
	var err error
	if c.pipes == nil {
		l, err = net.Listen("tcp", "127.0.0.1:0")
	} else {
		c.hosts++
		l, err = c.pipes.Listen(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, c.hosts}), 80))
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return l
}

func (c *cluster) transport() *http.Transport {
	t := &http.Transport{DisableKeepAlives: true}
	if c.pipes != nil {
		t.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
			return c.pipes.Dial(ctx, netip.MustParseAddrPort(addr))
		}
	}
	return t
}

func build(c *cluster, servers, entries int) *cluster {
	c.file = &service.File{
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
		l := c.listen()
		addr := netip.MustParseAddrPort(l.Addr().String())
		s.Serve(l)
		c.t.Cleanup(func() { s.Close() })
		c.servers = append(c.servers, s)
		c.file.Servers = append(c.file.Servers, service.Server{Name: s.Name, Address: addr, Zone: "fyn-1", Slots: 6, Connections: 400})
	}
	for i := range entries {
		c.start(id.Instance("entry-"+string(rune('1'+i))), 1)
	}
	return c
}

func (c *cluster) start(name id.Instance, incarnation id.Incarnation) *entryServer {
	client := &backend.Client{Entries: 7}
	if c.pipes != nil {
		client.Dial = c.pipes.Dial
	}
	h := &entry.Handler{
		Instance: name, Incarnation: incarnation, Started: time.Now(), Admitter: firstFree{c}, Backend: client, Lookup: c,
		Once:       &once.Registry{Instance: name, Incarnation: incarnation, Key: []byte(string(name) + "key")},
		Quarantine: &quarantine.List{Instance: name}, CrashReporter: c, Budget: always{}, Metrics: metrics.NewSet(),
		Log: slog.New(slog.NewTextHandler(c, nil)),
	}
	table := &entry.Table{Version: 7, Services: map[id.Service]*service.File{"registry": c.file}}
	h.Table = func() *entry.Table { return table }
	h.EntryAddress = func(name id.Instance) (netip.AddrPort, bool) {
		for _, e := range c.entries {
			if e.Instance == name {
				return e.addr(), true
			}
		}
		return netip.AddrPort{}, false
	}
	e := &entryServer{Handler: h, http: &httptest.Server{Listener: c.listen(), Config: &http.Server{Handler: h}}}
	e.http.Start()
	c.t.Cleanup(func() {
		e.http.CloseClientConnections()
		e.http.Close()
		h.Backend.CloseIdle()
	})
	c.entries = append(c.entries, e)
	return e
}

func (c *cluster) do(e *entryServer, method, path, body string, header ...string) reply {
	c.t.Helper()
	var r io.Reader
	if body != "" {
		r = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, e.http.URL+path, r)
	if err != nil {
		c.t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.transport().RoundTrip(req)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	out := reply{Response: resp, body: string(b), ran: resp.Header.Get(result.HeaderRan)}
	for _, info := range result.Codes() {
		if info.Code.String() == resp.Header.Get(result.HeaderCode) {
			out.code = info.Code
		}
	}
	return out
}

func (c *cluster) ran(requestID string) int {
	sum := 0
	for _, s := range c.servers {
		sum += s.Record().Ran[requestID]
	}
	return sum
}

func (c *cluster) crashes() int {
	sum := 0
	for _, s := range c.servers {
		sum += s.Record().Crashes
	}
	return sum
}

func (c *cluster) faults(f standin.Faults) {
	for _, s := range c.servers {
		s.SetFaults(f)
	}
}
