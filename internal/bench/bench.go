package bench

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/openloop"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Bounds of a bench.
const (
	// MaxTargets is the greatest number of targets.
	MaxTargets = 2
	// MaxDuration bounds the load of one seed.
	MaxDuration = 5 * time.Minute
	// MaxSeeds is the greatest number of seeds.
	MaxSeeds = 20
	// MaxRequests bounds the requests of one seed to one target.
	MaxRequests = 2_000_000
)

const requestTimeout = 30 * time.Second

type (
	// Bench is what to measure.
	Bench struct {
		// Targets holds one URL, or two to be compared.
		Targets []string
		// Rate is the mean rate of arrivals at each target.
		Rate unit.Rate
		// Duration is the time of the load for each seed.
		Duration time.Duration
		// Warmup is the first part of it, which isn't recorded.
		Warmup time.Duration
		// Seeds fix the schedules, one run each.
		Seeds []uint64
		// InFlight bounds the requests at the same time; 0 means 1000.
		InFlight int
		// Progress gets a line for each seed; nil for none.
		Progress func(seed uint64, done, all int)
	}

	// run is one target's part of one seed.
	run struct {
		client *http.Client
		target string
	}
)

// Check tells what is wrong with the bench, nil if nothing is.
func (b *Bench) Check() error {
	if n := len(b.Targets); n < 1 || n > MaxTargets {
		return eris.Errorf("%d targets, want 1 or %d", n, MaxTargets)
	}
	for _, t := range b.Targets {
		if err := checkLoopback(t); err != nil {
			return err
		}
	}
	switch {
	case len(b.Seeds) < 1 || len(b.Seeds) > MaxSeeds:
		return eris.Errorf("%d seeds, want 1 to %d", len(b.Seeds), MaxSeeds)
	case b.Duration <= 0 || b.Duration > MaxDuration:
		return eris.Errorf("duration %s, want above 0 and at most %s", b.Duration, MaxDuration)
	case b.Warmup < 0 || b.Warmup >= b.Duration:
		return eris.Errorf("warm-up %s, want less than the duration", b.Warmup)
	case !(b.Rate > 0 && float64(b.Rate)*b.Duration.Seconds() <= MaxRequests):
		return eris.Errorf("rate %g, want above 0 and at most %d requests in all", float64(b.Rate), MaxRequests)
	}
	return nil
}

// Run runs all seeds one after the other.
func (b *Bench) Run(ctx context.Context) (*Report, error) {
	if err := b.Check(); err != nil {
		return nil, err
	}
	r := newReport(b)
	for i, seed := range b.Seeds {
		r.add(seed, b.runSeed(ctx, seed))
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "bench")
		}
		if b.Progress != nil {
			b.Progress(seed, i+1, len(b.Seeds))
		}
	}
	r.finish()
	return r, nil
}

// runSeed loads all targets at the same time.
func (b *Bench) runSeed(ctx context.Context, seed uint64) []openloop.Result {
	results := make([]openloop.Result, len(b.Targets))
	var all sync.WaitGroup
	for i, target := range b.Targets {
		all.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}
			defer transport.CloseIdleConnections()
			one := run{client: &http.Client{Transport: transport, Timeout: requestTimeout}, target: target}
			load := openloop.Load{Rate: b.Rate, Duration: b.Duration, Warmup: b.Warmup, Seed: seed, InFlight: b.InFlight}
			results[i] = load.Run(ctx, one.get)
		})
	}
	all.Wait()
	return results
}

func (r *run) get(ctx context.Context, _ int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.target, nil)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

func checkLoopback(target string) error {
	u, err := url.Parse(target)
	if err != nil || u.Scheme != "http" {
		return eris.Errorf("target %q: want a URL such as http://127.0.0.1:21001/v1/lookup/registry", target)
	}
	address, err := netip.ParseAddr(u.Hostname())
	if err != nil || !address.IsLoopback() {
		return eris.Errorf("target %q is not on loopback", target)
	}
	return nil
}
