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
	measuredRequests = 3000
	warmupRequests   = 300
	loopbackAddress  = "127.0.0.1:0"
	lookupPath       = entry.LookupPath + "service-0"
	settleTime       = 20 * time.Millisecond
)

// requestMeasures returns the measures of forwarding requests and of lookups over
// HTTP. The caller, the entry and the simulated backend server run in one process,
// so that the processor time is that of all three.
func requestMeasures() []Measure {
	bodies := []int{0, 4 << 10, 16 << 10, 64 << 10, 256 << 10, 1 << 20}
	entries := []int{1, 2, 4, 8, 16}
	concurrent := []int{1, 2, 4, 8, 16}
	connections := []int{100, 200, 400, 800, 1600}
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
			Sizes: concurrent, Target: 16, Run: func(n int) (float64, error) { return getCost(n, false) },
		},
		{
			Role: "carrying", Quantity: "the same GET through an entry, processor us", Size: "requests at the same time",
			Sizes: concurrent, Target: 16, Run: func(n int) (float64, error) { return getCost(n, true) },
		},
		{
			Role: "carrying", Quantity: "heap B of open uploads, all three parties", Size: "open uploads",
			Sizes: []int{25, 50, 100, 200, 400}, Target: 400, Run: uploadHeap,
		},
		{
			Role: "carrying", Quantity: "heap B of idle callers' connections", Size: "connections",
			Sizes: connections, Target: 10_000, Run: idleHeap,
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

// fixture is an entry with one simulated backend server, and a client.
type fixture struct {
	handler    *entry.Handler
	server     *standin.Server
	http       *http.Server
	client     *http.Client
	entryURL   string
	backendURL string
}

// fixedEntries returns the same entries for every lookup.
type fixedEntries []lookup.Entry

func (f fixedEntries) Entries(id.Service, netip.Addr) ([]lookup.Entry, time.Duration) {
	return f, 10 * time.Second
}

func newFixture(entries int) (*fixture, error) {
	f := &fixture{server: &standin.Server{Name: "server-0"}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}}
	addr, err := f.server.Listen(loopbackAddress)
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
	f.handler = &entry.Handler{
		Instance: "entry-1", Incarnation: 1, Started: time.Now(), Table: func() *entry.Table { return table },
		Admitter: admitter, Backend: &backend.Client{Entries: 1}, Lookup: newFixedEntries(entries),
		Once:       &once.Registry{Instance: "entry-1", Incarnation: 1, Key: []byte("0123456789abcdef0123456789abcdef")},
		Quarantine: &quarantine.List{Instance: "entry-1"}, Metrics: metrics.NewSet(),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	l, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	f.http = &http.Server{Handler: f.handler}
	go func() { _ = f.http.Serve(l) }()
	f.entryURL, f.backendURL = "http://"+l.Addr().String(), "http://"+addr.String()
	return f, nil
}

func newFixedEntries(n int) fixedEntries {
	var out fixedEntries
	for i := range n {
		out = append(out, lookup.Entry{Instance: entryName(i), Address: netip.MustParseAddrPort("10.0.0.1:21001"), Weight: 100})
	}
	return out
}

func (f *fixture) close() {
	f.client.CloseIdleConnections()
	_ = f.http.Close()
	f.handler.Backend.CloseIdle()
	_ = f.server.Close()
}

func (f *fixture) send(method, url string, body io.Reader) error {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
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

// sendCost returns the mean processor time of a send, after warm-up sends that are
// not measured.
func (f *fixture) sendCost(send func() error) (float64, error) {
	for range warmupRequests {
		if err := send(); err != nil {
			return 0, err
		}
	}
	runtime.GC()
	var failed error
	cost, err := processorMicros(measuredRequests, func(int) {
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
	f, err := newFixture(1)
	if err != nil {
		return 0, err
	}
	defer f.close()
	url := f.backendURL + "/body"
	if through {
		url = f.entryURL + entry.ServicePath + "service-0/body"
	}
	body := strings.Repeat("x", size)
	return f.sendCost(func() error { return f.send(http.MethodPut, url, strings.NewReader(body)) })
}

// getCost returns the mean processor time of a GET at a concurrency of n.
func getCost(n int, through bool) (float64, error) {
	f, err := newFixture(1)
	if err != nil {
		return 0, err
	}
	defer f.close()
	url := f.backendURL + "/body"
	if through {
		url = f.entryURL + entry.ServicePath + "service-0/body"
	}
	cost, err := f.sendCost(func() error {
		errs := make([]error, n)
		var all sync.WaitGroup
		for i := range errs {
			all.Go(func() { errs[i] = f.send(http.MethodGet, url, nil) })
		}
		all.Wait()
		return errors.Join(errs...)
	})
	return cost / float64(n), err
}

func lookupCost(entries int, bare bool) (float64, error) {
	f, err := newFixture(entries)
	if err != nil {
		return 0, err
	}
	defer f.close()
	if bare {
		var answer []byte
		resp, err := f.client.Get(f.entryURL + lookupPath)
		if err != nil {
			return 0, err
		}
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return 0, err
		}
		f.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(answer)
		})
	}
	return f.sendCost(func() error { return f.send(http.MethodGet, f.entryURL+lookupPath, nil) })
}

// uploadHeap returns the heap used by n uploads in progress, each with 512 KiB sent.
func uploadHeap(n int) (float64, error) {
	const sent = 512 << 10
	f, err := newFixture(1)
	if err != nil {
		return 0, err
	}
	defer f.close()
	chunk := make([]byte, sent)
	before := heapInUse()
	writers := make([]*io.PipeWriter, n)
	errs := make(chan error, n)
	for i := range writers {
		var r *io.PipeReader
		r, writers[i] = io.Pipe()
		go func() { errs <- f.send(http.MethodPut, f.entryURL+entry.ServicePath+"service-0/body", io.NopCloser(r)) }()
		if _, err := writers[i].Write(chunk); err != nil {
			return 0, err
		}
	}
	after := heapInUse()
	for i := range writers {
		_ = writers[i].Close()
	}
	for range writers {
		if err := <-errs; err != nil {
			return 0, err
		}
	}
	return after - before, nil
}

// idleHeap returns the heap used by n idle connections of callers, after one
// request on each. The callers' ends have no buffers and contribute little.
func idleHeap(n int) (float64, error) {
	f, err := newFixture(1)
	if err != nil {
		return 0, err
	}
	defer f.close()
	address := strings.TrimPrefix(f.entryURL, "http://")
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
		return nil, eris.New("lookup: status " + strconv.Itoa(resp.StatusCode))
	}
	return c, err
}
