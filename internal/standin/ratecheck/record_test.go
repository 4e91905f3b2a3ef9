package ratecheck_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/standin/ratecheck"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

func TestViolations(t *testing.T) {
	const settling = 3 * time.Second
	type change struct {
		at   time.Duration
		rate unit.Rate
	}
	tests := map[string]struct {
		changes  []change
		passedOn time.Duration // negative if never
		from     time.Duration // of the requests
		requests int           // 10 ms apart
		want     int
	}{
		"as many as allowed":            {[]change{{0, 2.5}}, 0, 8 * time.Second, 20, 0},
		"one more":                      {[]change{{0, 2.5}}, 0, 8 * time.Second, 21, 1},
		"entry has passed on no limit":  {[]change{{0, 2.5}}, -1, 8 * time.Second, 21, 0},
		"passed on less than 0.5 s ago": {[]change{{0, 2.5}}, 7900 * time.Millisecond, 8 * time.Second, 21, 0},
		"limit was just named":          {[]change{{6 * time.Second, 2.5}}, 0, 8 * time.Second, 21, 0},
		"limit has fallen since":        {[]change{{0, 10}, {2 * time.Second, 2.5}}, 0, 8 * time.Second, 21, 0},
		"limit fell long ago":           {[]change{{0, 10}, {time.Second, 2.5}}, 0, 9 * time.Second, 21, 1},
		"limit has ended":               {[]change{{0, 2.5}, {7 * time.Second, 0}}, 0, 8 * time.Second, 21, 0},
		"limit ended and was renewed":   {[]change{{0, 2.5}, {time.Second, 0}, {2 * time.Second, 2.5}}, 0, 8 * time.Second, 21, 1},
		"before it was renewed":         {[]change{{0, 2.5}, {time.Second, 0}, {5500 * time.Millisecond, 2.5}}, 0, 5 * time.Second, 400, 1},
		"some before it was renewed":    {[]change{{0, 2.5}, {time.Second, 0}, {5500 * time.Millisecond, 2.5}}, 0, 5400 * time.Millisecond, 30, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			var r ratecheck.Record
			for _, c := range tt.changes {
				r.Name("i-1", start.Add(c.at), c.rate)
			}
			if tt.passedOn >= 0 {
				r.PassOn("i-1", "entry-1", start.Add(tt.passedOn))
			}
			for i := range tt.requests {
				r.Arrive("i-1", "entry-1", start.Add(tt.from).Add(time.Duration(i)*10*time.Millisecond))
			}
			is.Equal(len(r.Violations(settling)), tt.want)
		})
	}
}
