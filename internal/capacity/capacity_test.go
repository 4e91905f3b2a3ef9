package capacity_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/capacity"
	"github.com/shallotpier/shallotpier/internal/slope"
)

func TestMeasuresAreComplete(t *testing.T) {
	is := is.New(t)
	for _, m := range capacity.Measures() {
		is.True(len(m.Sizes) >= slope.MinPoints)
		is.True(m.Role != "" && m.Quantity != "" && m.Size != "" && m.Target > 0)
	}
}

func TestRunExtrapolatesToTarget(t *testing.T) {
	is := is.New(t)
	r, err := capacity.Run(capacity.Measure{
		Role: "r", Quantity: "q", Size: "s", Sizes: []int{1, 2, 3, 4, 5}, Target: 1000,
		Run: func(n int) (float64, error) { return float64(3*n + 1), nil },
	})
	is.NoErr(err)
	is.Equal(int(r.AtTarget+0.5), 3001)
}

// BenchmarkMeasures runs every measure; `shallotpier bench slopes` prints them.
func BenchmarkMeasures(b *testing.B) {
	for _, m := range capacity.Measures() {
		b.Run(m.Role+"/"+m.Quantity, func(b *testing.B) {
			for b.Loop() {
				r, err := capacity.Run(m)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(r.Line.Slope, "slope")
				b.ReportMetric(r.AtTarget, "atTarget")
			}
		})
	}
}
