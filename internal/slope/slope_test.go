package slope_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/slope"
)

func TestFit(t *testing.T) {
	tests := map[string]struct {
		points []slope.Point
		at     float64
		want   float64
		resid  float64
		ok     bool
	}{
		"exact":       {points: []slope.Point{{1, 3}, {2, 5}, {3, 7}, {4, 9}, {5, 11}}, at: 100, want: 201, ok: true},
		"flat":        {points: []slope.Point{{1, 4}, {2, 4}, {3, 4}, {4, 4}, {5, 4}}, at: 9, want: 4, ok: true},
		"one distant": {points: []slope.Point{{1, 0}, {2, 0}, {3, 10}, {4, 0}, {5, 0}}, at: 3, want: 2, resid: 0.8, ok: true},
		"too few":     {points: []slope.Point{{1, 1}, {2, 2}}},
		"one size":    {points: []slope.Point{{1, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 5}}},
		"not finite":  {points: []slope.Point{{1, 1}, {2, 2}, {3, math.NaN()}, {4, 4}, {5, 5}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			line, err := slope.Fit(tt.points)
			is.Equal(err == nil, tt.ok)
			if tt.ok {
				is.True(math.Abs(line.At(tt.at)-tt.want) < 1e-9)
				is.True(math.Abs(line.Residual-tt.resid) < 1e-9)
			}
		})
	}
}
