package capacity

import (
	"fmt"
	"io"
	"slices"

	"github.com/shallotpier/shallotpier/internal/slope"
)

// Result holds the points of a measure, the line fitted to them and its value at
// the size of the target deployment.
type Result struct {
	slope.Series
	// Line is fitted to the points.
	Line slope.Line `json:"line"`
	// Target is the size in the target deployment.
	Target int `json:"target"`
	// AtTarget is the quantity that the line predicts for Target.
	AtTarget float64 `json:"atTarget"`
}

// Measures returns the measures of all roles.
func Measures() []Measure {
	return slices.Concat(lookupMeasures(), requestMeasures(), membershipMeasures(), slotMeasures(), configurationMeasures(), replicaMeasures(), noticeMeasures(), peerMeasures())
}

// Run runs a measure and fits a line to its points.
func Run(m Measure) (Result, error) {
	s, err := m.Series()
	if err != nil {
		return Result{}, err
	}
	line, err := slope.Fit(s.Points)
	if err != nil {
		return Result{}, err
	}
	return Result{Series: s, Line: line, Target: m.Target, AtTarget: line.At(float64(m.Target))}, nil
}

// Print writes the result as a row of the Markdown table that PrintHeader begins.
func (r Result) Print(w io.Writer) {
	fmt.Fprintf(w, "| %s | %s | %s | %.4g | %.4g | %.4f | %.1f%% | %d | %.4g |\n",
		r.Role, r.Quantity, r.Size, r.Line.Intercept, r.Line.Slope, r.Line.R2, r.Line.Residual*100, r.Target, r.AtTarget)
}

// PrintHeader writes the header of the Markdown table of results.
func PrintHeader(w io.Writer) {
	fmt.Fprintln(w, "| role | quantity | size | at 0 | for one more | R2 | residual | target | at target |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}
