package retry_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/retry"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

var start = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

func TestAllowed(t *testing.T) {
	base := retry.Try{Kind: service.Read, Code: result.AnswerCut, Sends: 1, Attempts: 3, Deadline: start.Add(time.Second)}
	latency := func(d, age time.Duration) func(*retry.Try) {
		return func(t *retry.Try) { t.Latency = measured.At(d, start.Add(-age)) }
	}
	tests := map[string]struct {
		change func(*retry.Try)
		want   bool
	}{
		"truncated read":           {func(*retry.Try) {}, true},
		"truncated write":          {func(t *retry.Try) { t.Kind = service.Write }, false},
		"truncated upload":         {func(t *retry.Try) { t.Kind = service.Upload }, false},
		"truncated at-most-once":   {func(t *retry.Try) { t.Kind = service.Once }, false},
		"write, connection failed": {func(t *retry.Try) { t.Kind, t.Code = service.Write, result.ConnectFailed }, true},
		"shed at-most-once":        {func(t *retry.Try) { t.Kind, t.Code = service.Once, result.ShedByServer }, true},
		"truncated, unknown kind":  {func(t *retry.Try) { t.Kind = "" }, false},
		"served":                   {func(t *retry.Try) { t.Code = result.Served }, false},
		"quarantined":              {func(t *retry.Try) { t.Code = result.Quarantined }, false},
		"late":                     {func(t *retry.Try) { t.Code = result.AnswerLate }, false},
		"unknown code":             {func(t *retry.Try) { t.Code = -1 }, false},
		"last attempt":             {func(t *retry.Try) { t.Sends = 3 }, false},
		"never sent":               {func(t *retry.Try) { t.Sends = 0 }, false},
		"negative sends":           {func(t *retry.Try) { t.Sends = -1 }, false},
		"negative attempts":        {func(t *retry.Try) { t.Attempts = -1 }, false},
		"deadline passed":          {func(t *retry.Try) { t.Deadline = start }, false},
		"no deadline":              {func(t *retry.Try) { t.Deadline = time.Time{} }, false},
		"too little time":          {func(t *retry.Try) { t.Deadline = start.Add(90 * time.Millisecond) }, false},
		"latency fits":             {latency(900*time.Millisecond, 0), true},
		"latency doesn't fit":      {latency(time.Second, 0), false},
		"latency stale":            {latency(time.Hour, 2*time.Minute), true},
		"latency from the future":  {latency(time.Hour, -time.Minute), true},
		"latency negative":         {latency(-time.Hour, 0), true},
		"latency out of range":     {latency(math.MaxInt64, 0), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			try := base
			tt.change(&try)
			is.Equal(retry.Allowed(&try, start), tt.want)
		})
	}
}

func TestTakeByShare(t *testing.T) {
	tests := map[string]struct {
		share float64
		later time.Duration
		want  int
	}{
		"a tenth":           {0.1, 0, 10},
		"all":               {1, 0, 100},
		"none":              {0, 0, 0},
		"NaN":               {math.NaN(), 0, 0},
		"negative":          {-1, 0, 0},
		"over one":          {1.5, 0, 0},
		"infinite":          {math.Inf(1), 0, 0},
		"end of the window": {0.1, 9 * time.Second, 10},
		"after the window":  {0.1, 11 * time.Second, retry.MinRetries},
		"tiny share":        {0.001, 0, retry.MinRetries},
		"clock steps back":  {0.1, -time.Hour, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b retry.Budget
			for range 100 {
				b.CountFirst(start)
			}
			n := 0
			for range 200 {
				if b.Take(start.Add(tt.later), tt.share) {
					n++
				}
			}
			is.Equal(n, tt.want)
		})
	}
}

// The retries of a window that ends with a retry are at most the share of its first
// sends, or MinRetries, for any sequence of requests. The model counts whole seconds,
// as the budget does.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retry.Budget
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		now := start
		first, retries := map[int64]int{}, map[int64]int{}
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			second := now.Unix()
			if rapid.Bool().Draw(t, "first") {
				b.CountFirst(now)
				first[second]++
				continue
			}
			if !b.Take(now, share) {
				continue
			}
			retries[second]++
			f, r := 0, 0
			for s := second - 9; s <= second; s++ {
				f, r = f+first[s], r+retries[s]
			}
			if bound := max(share*float64(f), retry.MinRetries); float64(r) > bound+1e-9 || (share == 0 && r > 0) {
				t.Fatalf("%d retries for %d first sends in a window at share %v", r, f, share)
			}
		}
	})
}

func BenchmarkBudget(b *testing.B) {
	var budget retry.Budget
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		budget.CountFirst(now)
		budget.Take(now, 0.1)
	}
}

func TestBudgetIsEmptyAfterPause(t *testing.T) {
	is := is.New(t)
	var b retry.Budget
	for s := range 10 {
		for range 100 {
			b.CountFirst(start.Add(time.Duration(s) * time.Second))
		}
	}
	n := 0
	for b.Take(start.Add(30*time.Second), 1) {
		n++
	}
	is.Equal(n, retry.MinRetries)
}
