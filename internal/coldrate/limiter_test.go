package coldrate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/coldrate"
)

func TestRateIsKeptInEverySpan(t *testing.T) {
	const rate, entries = 30.5, 7
	start := time.Unix(0, 0)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		limiters := make([]coldrate.Limiter, entries)
		var sent []time.Time
		for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(time.Duration(rng.Int64N(int64(8 * time.Millisecond)))) {
			if i := rng.IntN(entries); limiters[i].Take(now, coldrate.Share(rate, entries, i)) {
				sent = append(sent, now)
			}
		}
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) >= time.Second {
				first++
			}
			if n := i - first + 1; float64(n) > rate {
				t.Fatalf("seed %d: %d requests within a second of %v, rate %v", seed, n, at, rate)
			}
		}
	}
}

func TestShare(t *testing.T) {
	tests := map[string]struct {
		rate          float64
		entries, rank int
		want          int
	}{
		"one entry":              {30, 1, 0, 27},
		"seven entries, first":   {30.5, 7, 5, 4},
		"seven entries, last":    {30.5, 7, 6, 3},
		"no entry known":         {10, 0, 0, 9},
		"small rate, ranked in":  {16.7, 31, 14, 1},
		"small rate, ranked out": {16.7, 31, 15, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(coldrate.Share(tt.rate, tt.entries, tt.rank), tt.want)
		})
	}
}
