package outlier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/outlier"
)

func TestOutlier(t *testing.T) {
	const requests = 40
	var none outlier.Stats
	tests := map[string]struct {
		failEach int     // every n-th request fails, 0 for none
		ratio    float64 // latency as a multiple of the baseline
		mean     outlier.Stats
		pause    time.Duration
		want     bool
	}{
		"healthy":                  {0, 1, none, 0, false},
		"half fail":                {2, 1, none, 0, true},
		"half fail at all servers": {2, 1, outlier.Stats{Failures: 0.5}, 0, false},
		"one in forty fails":       {40, 1, none, 0, false},
		"five times the baseline":  {0, 5, none, 0, true},
		"slow like all others":     {0, 5, outlier.Stats{Excess: 4}, 0, false},
		"twice the baseline":       {0, 2, none, 0, false},
		"failed some time ago":     {2, 1, none, 10 * time.Second, false},
		"slow some time ago":       {0, 5, none, 10 * time.Second, false},
		"fails and is faster":      {3, 0.3, none, 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(100, 0)
			var r outlier.Record
			for i := 1; i <= requests; i++ {
				now = now.Add(20 * time.Millisecond)
				r.Observe(now, tt.failEach == 0 || i%tt.failEach != 0, tt.ratio)
			}
			is.Equal(r.Outlier(now.Add(tt.pause), tt.mean), tt.want)
		})
	}
}
