package probe

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	defaultPeriod = 10 * time.Second
	timeout       = 2 * time.Second
	maxConcurrent = 16
	maxHeadBytes  = 64 << 10
	maxBodyBytes  = 4 << 10
	roundInterval = time.Second
)

type (
	// Prober probes backend servers. Its fields must not change after Run.
	Prober struct {
		// Services returns the service files of the active configuration.
		Services func() []*service.File
		// Dial connects to a server; nil means TCP.
		Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
		// Period is the time between two probes of a server; 0 means 10 s.
		Period time.Duration
		// Probed is called with the result of each health check: whether the
		// server answered that it accepts requests.
		Probed func(id.Service, id.Server, measured.Value[bool])
		// Reported is called with each load report of a server.
		Reported func(id.Service, id.Server, measured.Value[health.Report])
		// Rand provides the jitter of the probes. Only Run uses it.
		Rand *rand.Rand

		client *http.Client
		next   map[target]time.Time
	}

	target struct {
		service id.Service
		server  id.Server
		address netip.AddrPort
	}

	// load is a server's answer to GET /load.
	load struct {
		Running  int  `json:"running"`
		Slots    int  `json:"slots"`
		Draining bool `json:"draining"`
	}
)

// Run probes the servers until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	p.client = &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: p.dial, MaxResponseHeaderBytes: maxHeadBytes}}
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		p.probeAll(ctx, p.due(time.Now()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// due returns, in random order, the servers to probe now, and removes those
// that are no longer configured. A new server is due within one roundInterval.
func (p *Prober) due(now time.Time) []target {
	period := p.Period
	if period == 0 {
		period = defaultPeriod
	}
	var out []target
	next := map[target]time.Time{}
	for _, f := range p.Services() {
		for i := range f.Servers {
			t := target{f.Service, f.Servers[i].Name, f.Servers[i].Address}
			at, known := p.next[t]
			if !known || !at.After(now) {
				out = append(out, t)
				at = now.Add(period/2 + time.Duration(p.Rand.Int64N(int64(period))))
			}
			next[t] = at
		}
	}
	p.next = next
	p.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (p *Prober) probeAll(ctx context.Context, targets []target) {
	var wg sync.WaitGroup
	free := make(chan struct{}, maxConcurrent)
	for _, t := range targets {
		free <- struct{}{}
		wg.Go(func() {
			p.probeServer(ctx, t)
			<-free
		})
	}
	wg.Wait()
}

func (p *Prober) probeServer(ctx context.Context, t target) {
	sentAt := time.Now()
	status, _, err := p.get(ctx, t, "/health")
	if ctx.Err() != nil {
		return
	}
	p.Probed(t.service, t.server, measured.At(err == nil && status == http.StatusOK, sentAt))
	if err != nil {
		return
	}
	sentAt = time.Now()
	status, body, err := p.get(ctx, t, "/load")
	var l load
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &l) != nil {
		return
	}
	p.Reported(t.service, t.server, measured.At(health.Report{Slots: l.Slots, Running: l.Running, Refuses: l.Draining}, sentAt))
}

func (p *Prober) get(ctx context.Context, t target, path string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address.String()+path, nil)
	if err != nil {
		return 0, nil, eris.Wrap(err, "probe")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, nil, eris.Wrap(err, "probe")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return resp.StatusCode, body, eris.Wrap(err, "probe")
}

func (p *Prober) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if p.Dial == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "probe")
	}
	return p.Dial(ctx, to)
}
