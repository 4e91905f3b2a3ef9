package sharedrate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/sharedrate"
)

func TestRateIsKeptInEverySpan(t *testing.T) {
	const entries = 7
	quota := sharedrate.Quota{Requests: 27, Span: time.Second}
	start := time.Unix(0, 0)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		limiters := make([]sharedrate.Limiter, entries)
		var sent []time.Time
		for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(time.Duration(rng.Int64N(int64(8 * time.Millisecond)))) {
			if i := rng.IntN(entries); limiters[i].Take(now, quota.Share(entries, i)) {
				sent = append(sent, now)
			}
		}
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) >= time.Second {
				first++
			}
			if n := i - first + 1; n > quota.Requests {
				t.Fatalf("seed %d: %d requests within a second of %v, want %d", seed, n, at, quota.Requests)
			}
		}
	}
}

func TestShare(t *testing.T) {
	tests := map[string]struct {
		requests      int
		entries, rank int
		want          int
	}{
		"one entry":              {27, 1, 0, 27},
		"seven entries, first":   {27, 7, 5, 4},
		"seven entries, last":    {27, 7, 6, 3},
		"no entry known":         {9, 0, 0, 9},
		"small rate, ranked in":  {15, 31, 14, 1},
		"small rate, ranked out": {15, 31, 15, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			quota := sharedrate.Quota{Requests: tt.requests, Span: 3 * time.Second}
			is.New(t).Equal(quota.Share(tt.entries, tt.rank), sharedrate.Quota{Requests: tt.want, Span: 3 * time.Second})
		})
	}
}

func TestNext(t *testing.T) {
	is := is.New(t)
	var l sharedrate.Limiter
	quota, now := sharedrate.Quota{Requests: 2, Span: 5 * time.Second}, time.Unix(0, 0)
	is.Equal(l.Next(now, quota), now)
	for i := range 2 {
		is.True(l.Take(now.Add(time.Duration(i)*time.Second), quota))
	}
	next := l.Next(now.Add(2*time.Second), quota)
	is.Equal(next, now.Add(5*time.Second))
	is.True(!l.Take(next.Add(-1), quota))
	is.True(l.Take(next, quota))
	is.Equal(l.Next(next, sharedrate.Quota{Requests: 1, Span: 5 * time.Second}), next.Add(5*time.Second)) // a smaller quota
}
