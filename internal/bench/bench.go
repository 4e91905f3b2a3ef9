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

// Bounds of a benchmark.
const (
	// MaxTargets is the maximum number of targets.
	MaxTargets = 2
	// MaxDuration is the maximum duration of the load for one seed.
	MaxDuration = 5 * time.Minute
	// MaxSeeds is the maximum number of seeds.
	MaxSeeds = 20
	// MaxRequests is the maximum expected number of requests to one target for
	// one seed.
	MaxRequests = 2_000_000
)

const requestTimeout = 30 * time.Second

type (
	// Bench configures a benchmark.
	Bench struct {
		// Targets holds one URL, or two URLs to compare.
		Targets []string
		// Rate is the mean arrival rate at each target.
		Rate unit.Rate
		// Duration is the duration of the load for each seed, including the
		// warm-up.
		Duration time.Duration
		// Warmup is the initial part of Duration that is not recorded.
		Warmup time.Duration
		// Seeds are the seeds of the arrival schedules. There is one run per
		// seed.
		Seeds []uint64
		// InFlight is the maximum number of concurrent requests to each target;
		// 0 means 1000.
		InFlight int
		// Progress, if not nil, is called after each seed with the number of
		// completed seeds and the number of all seeds.
		Progress func(seed uint64, done, all int)
	}

	// target sends requests to one URL.
	target struct {
		client *http.Client
		url    string
	}
)

// Check returns an error if the configuration is invalid.
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
		return eris.Errorf("rate %g, want above 0 and at most %d requests in total", float64(b.Rate), MaxRequests)
	}
	return nil
}

// Run runs the benchmark with one seed after another. It returns an error if the
// configuration is invalid or ctx is cancelled. Failed requests are counted in the
// report.
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

// runSeed sends the load of one seed to all targets concurrently.
func (b *Bench) runSeed(ctx context.Context, seed uint64) []openloop.Result {
	results := make([]openloop.Result, len(b.Targets))
	var all sync.WaitGroup
	for i, url := range b.Targets {
		all.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}
			defer transport.CloseIdleConnections()
			t := target{client: &http.Client{Transport: transport, Timeout: requestTimeout}, url: url}
			load := openloop.Load{Rate: b.Rate, Duration: b.Duration, Warmup: b.Warmup, Seed: seed, InFlight: b.InFlight}
			results[i] = load.Run(ctx, t.get)
		})
	}
	all.Wait()
	return results
}

func (t *target) get(ctx context.Context, _ int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url, nil)
	if err != nil {
		return err
	}
	resp, err := t.client.Do(req)
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
		return eris.Errorf("target %q is not a loopback address", target)
	}
	return nil
}
