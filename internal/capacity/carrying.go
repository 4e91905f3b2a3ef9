package capacity

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/admission/local"
	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/internal/entry"
	"github.com/shallotpier/shallotpier/internal/once"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	requests     = 3000
	warmRequests = 300
	loopbackZero = "127.0.0.1:0"
	lookupPath   = entry.LookupPath + "service-0"
	settleTime   = 20 * time.Millisecond
)

// carrying returns the measures of the role that carries requests, and of the
// HTTP around a look-up. The caller, the entry and the stand-in of the backend
// server run in one process.
func carrying() []Measure {
	bodies := []int{0, 4 << 10, 16 << 10, 64 << 10, 256 << 10, 1 << 20}
	entries := []int{1, 2, 4, 8, 16}
	together := []int{1, 2, 4, 8, 16}
	open := []int{100, 200, 400, 800, 1600}
	return []Measure{
		{
			Role: "carrying", Quantity: "PUT straight to the stand-in, processor us", Size: "B of body",
			Sizes: bodies, Target: 64 << 10, Run: func(n int) (float64, error) { return putCost(n, false) },
		},
		{
			Role: "carrying", Quantity: "the same through an entry, processor us", Size: "B of body",
			Sizes: bodies, Target: 64 << 10, Run: func(n int) (float64, error) { return putCost(n, true) },
		},
		{
			Role: "carrying", Quantity: "GET straight to the stand-in, processor us", Size: "requests at the same time",
			Sizes: together, Target: 16, Run: func(n int) (float64, error) { return getCost(n, false) },
		},
		{
			Role: "carrying", Quantity: "the same GET through an entry, processor us", Size: "requests at the same time",
			Sizes: together, Target: 16, Run: func(n int) (float64, error) { return getCost(n, true) },
		},
		{
			Role: "carrying", Quantity: "heap B of open uploads, all three parties", Size: "open uploads",
			Sizes: []int{25, 50, 100, 200, 400}, Target: 400, Run: uploadHeap,
		},
		{
			Role: "carrying", Quantity: "heap B of idle callers' connections", Size: "connections",
			Sizes: open, Target: 10_000, Run: idleHeap,
		},
		{
			Role: "HTTP look-up", Quantity: "client included, processor us", Size: "entries in the answer",
			Sizes: entries, Target: 16, Run: func(n int) (float64, error) { return lookupCost(n, false) },
		},
		{
			Role: "HTTP look-up", Quantity: "bare net/http handler with the same answer, processor us", Size: "entries in the answer",
			Sizes: entries, Target: 16, Run: func(n int) (float64, error) { return lookupCost(n, true) },
		},
	}
}

// path is one entry before one stand-in of a backend server.
type path struct {
	handler *entry.Handler
	server  *standin.Server
	http    *http.Server
	client  *http.Client
	entry   string
	backend string
}

// fixedEntries answers every look-up with the same entries.
type fixedEntries []lookup.Entry

func (f fixedEntries) Entries(id.Service, netip.Addr) ([]lookup.Entry, time.Duration) {
	return f, 10 * time.Second
}

func newPath(entries int) (*path, error) {
	p := &path{server: &standin.Server{Name: "server-0"}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}}
	addr, err := p.server.Listen(loopbackZero)
	if err != nil {
		return nil, err
	}
	file := serviceFile(0, 1)
	file.Servers[0].Address, file.Servers[0].Slots, file.Servers[0].Connections = addr, 1000, 1000
	admitter := &local.Admitter{Entries: 1}
	servers := []*service.Server{&file.Servers[0]}
	admitter.Pool.Order = func(*admission.Request) []*service.Server { return servers }
	admitter.Configure([]*service.File{file})
	table := &entry.Table{Version: 7, Services: map[id.Service]*service.File{file.Service: file}}
	p.handler = &entry.Handler{
		Instance: "entry-1", Incarnation: 1, Started: time.Now(), Table: func() *entry.Table { return table },
		Admitter: admitter, Backend: &backend.Client{Entries: 1}, Lookup: fixed(entries),
		Once:       &once.Registry{Instance: "entry-1", Incarnation: 1, Key: []byte("0123456789abcdef0123456789abcdef")},
		Quarantine: &quarantine.List{Instance: "entry-1"}, Metrics: metrics.NewSet(),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	l, err := net.Listen("tcp", loopbackZero)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	p.http = &http.Server{Handler: p.handler}
	go func() { _ = p.http.Serve(l) }()
	p.entry, p.backend = "http://"+l.Addr().String(), "http://"+addr.String()
	return p, nil
}

func fixed(n int) fixedEntries {
	var out fixedEntries
	for i := range n {
		out = append(out, lookup.Entry{Instance: entryName(i), Address: netip.MustParseAddrPort("10.0.0.1:21001"), Weight: 100})
	}
	return out
}

func (p *path) close() {
	p.client.CloseIdleConnections()
	_ = p.http.Close()
	p.handler.Backend.CloseIdle()
	_ = p.server.Close()
}

func (p *path) send(method, url string, body io.Reader) error {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	}
	return nil
}

// repeated returns the processor time of one of many sends, after some that
// don't count.
func (p *path) repeated(send func() error) (float64, error) {
	for range warmRequests {
		if err := send(); err != nil {
			return 0, err
		}
	}
	runtime.GC()
	var failed error
	cost, err := processorMicros(requests, func(int) {
		if err := send(); err != nil {
			failed = err
		}
	})
	if failed != nil {
		return 0, failed
	}
	return cost, err
}

func putCost(size int, through bool) (float64, error) {
	p, err := newPath(1)
	if err != nil {
		return 0, err
	}
	defer p.close()
	url := p.backend + "/body"
	if through {
		url = p.entry + entry.ServicePath + "service-0/body"
	}
	body := strings.Repeat("x", size)
	return p.repeated(func() error { return p.send(http.MethodPut, url, strings.NewReader(body)) })
}

// getCost returns the processor time of one GET while n are under way.
func getCost(n int, through bool) (float64, error) {
	p, err := newPath(1)
	if err != nil {
		return 0, err
	}
	defer p.close()
	url := p.backend + "/body"
	if through {
		url = p.entry + entry.ServicePath + "service-0/body"
	}
	cost, err := p.repeated(func() error {
		errs := make([]error, n)
		var all sync.WaitGroup
		for i := range errs {
			all.Go(func() { errs[i] = p.send(http.MethodGet, url, nil) })
		}
		all.Wait()
		return errors.Join(errs...)
	})
	return cost / float64(n), err
}

func lookupCost(entries int, bare bool) (float64, error) {
	p, err := newPath(entries)
	if err != nil {
		return 0, err
	}
	defer p.close()
	if bare {
		var answer []byte
		resp, err := p.client.Get(p.entry + lookupPath)
		if err != nil {
			return 0, err
		}
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return 0, err
		}
		p.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(answer)
		})
	}
	return p.repeated(func() error { return p.send(http.MethodGet, p.entry+lookupPath, nil) })
}

// uploadHeap returns the heap while n uploads are open, each with half a
// mebibyte sent.
func uploadHeap(n int) (float64, error) {
	const sent = 512 << 10
	p, err := newPath(1)
	if err != nil {
		return 0, err
	}
	defer p.close()
	chunk := make([]byte, sent)
	before := heapInUse()
	writers := make([]*io.PipeWriter, n)
	ends := make(chan error, n)
	for i := range writers {
		var r *io.PipeReader
		r, writers[i] = io.Pipe()
		go func() { ends <- p.send(http.MethodPut, p.entry+entry.ServicePath+"service-0/body", io.NopCloser(r)) }()
		if _, err := writers[i].Write(chunk); err != nil {
			return 0, err
		}
	}
	after := heapInUse()
	for i := range writers {
		_ = writers[i].Close()
	}
	for range writers {
		if err := <-ends; err != nil {
			return 0, err
		}
	}
	return after - before, nil
}

// idleHeap returns the heap of n open connections of callers that have each
// had one answer. The callers' ends hold no buffers.
func idleHeap(n int) (float64, error) {
	p, err := newPath(1)
	if err != nil {
		return 0, err
	}
	defer p.close()
	address := strings.TrimPrefix(p.entry, "http://")
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	before := heapInUse()
	for range n {
		c, err := lookupOnce(address)
		if err != nil {
			return 0, err
		}
		conns = append(conns, c)
	}
	time.Sleep(settleTime)
	return heapInUse() - before, nil
}

func lookupOnce(address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(c, "GET "+lookupPath+" HTTP/1.1\r\nHost: "+address+"\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return nil, eris.New("look-up: status " + strconv.Itoa(resp.StatusCode))
	}
	return c, err
}
