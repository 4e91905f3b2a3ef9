package bench_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/bench"
)

func TestRunComparesTwoTargets(t *testing.T) {
	is := is.New(t)
	slow := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(30 * time.Millisecond) }))
	defer slow.Close()
	fast := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer fast.Close()
	b := bench.Bench{Targets: []string{slow.URL, fast.URL}, Rate: 200, Duration: 300 * time.Millisecond, Warmup: 50 * time.Millisecond, Seeds: []uint64{1, 2}}
	r, err := b.Run(context.Background())
	is.NoErr(err)
	is.True(!r.Failed())
	is.Equal(len(r.Targets[0].Seeds), 2)
	is.True(r.Targets[0].All.P50.Std() >= 30*time.Millisecond)
	is.True(r.Targets[0].Sent > 0)
	is.True(r.Targets[0].Sent == r.Targets[1].Sent) // both targets have the same schedule
	is.True(r.Ratios.P50.Median > 1)

	var out bytes.Buffer
	is.NoErr(r.WriteText(&out))
	is.True(strings.Contains(out.String(), "first to second: p50"))
	path := filepath.Join(t.TempDir(), "p.svg")
	is.NoErr(r.Plot(path))
	data, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(data), "<svg"))
}

func TestRunCountsFailures(t *testing.T) {
	is := is.New(t)
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer failing.Close()
	b := bench.Bench{Targets: []string{failing.URL}, Rate: 200, Duration: 100 * time.Millisecond, Seeds: []uint64{1}}
	r, err := b.Run(context.Background())
	is.NoErr(err)
	is.True(r.Failed())
	is.Equal(r.Targets[0].Failed, r.Targets[0].Sent)
	is.Equal(r.Targets[0].FirstError, "status 503")
}

func TestCheckRejectsInvalidConfiguration(t *testing.T) {
	valid := bench.Bench{Targets: []string{"http://127.0.0.1:1/"}, Rate: 1, Duration: time.Second, Seeds: []uint64{1}}
	tests := map[string]struct {
		change func(b *bench.Bench)
		ok     bool
	}{
		"valid":                   {change: func(*bench.Bench) {}, ok: true},
		"IPv6 loopback":           {change: func(b *bench.Bench) { b.Targets[0] = "http://[::1]:1/" }, ok: true},
		"not loopback":            {change: func(b *bench.Bench) { b.Targets[0] = "http://192.0.2.1:1/" }},
		"host name":               {change: func(b *bench.Bench) { b.Targets[0] = "http://localhost:1/" }},
		"address as user name":    {change: func(b *bench.Bench) { b.Targets[0] = "http://127.0.0.1@192.0.2.1:1/" }},
		"no target":               {change: func(b *bench.Bench) { b.Targets = nil }},
		"three targets":           {change: func(b *bench.Bench) { b.Targets = append(b.Targets, b.Targets[0], b.Targets[0]) }},
		"no seed":                 {change: func(b *bench.Bench) { b.Seeds = nil }},
		"duration above maximum":  {change: func(b *bench.Bench) { b.Duration = time.Hour }},
		"requests above maximum":  {change: func(b *bench.Bench) { b.Rate = 3e6 }},
		"rate 0":                  {change: func(b *bench.Bench) { b.Rate = 0 }},
		"warm-up as long as load": {change: func(b *bench.Bench) { b.Warmup = b.Duration }},
		"duration 0":              {change: func(b *bench.Bench) { b.Duration = 0 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := valid
			b.Targets = append([]string(nil), valid.Targets...)
			tt.change(&b)
			is.Equal(b.Check() == nil, tt.ok)
		})
	}
}
