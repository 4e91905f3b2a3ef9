package measured_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/measured"
)

func TestReadReturnsOnlyFreshValues(t *testing.T) {
	now := time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)
	const limit = 5 * time.Second
	tests := map[string]struct {
		give  measured.Value[int]
		want  int
		state measured.State
	}{
		"never measured":    {state: measured.Missing},
		"at the limit":      {give: measured.At(7, now.Add(-limit)), want: 7, state: measured.Fresh},
		"past the limit":    {give: measured.At(7, now.Add(-limit-1)), state: measured.Stale},
		"within clock skew": {give: measured.At(7, now.Add(2*time.Second)), want: 7, state: measured.Fresh},
		"from the future":   {give: measured.At(7, now.Add(2*time.Second+1)), state: measured.Future},
		"from the far past": {give: measured.At(7, time.Unix(0, 0)), state: measured.Stale},
		"measured just now": {give: measured.At(7, now), want: 7, state: measured.Fresh},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, state := tt.give.Read(now, limit)
			is.Equal(got, tt.want)
			is.Equal(state, tt.state)
		})
	}
}
