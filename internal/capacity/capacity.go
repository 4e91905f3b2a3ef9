package capacity

import (
	"fmt"
	"io"
	"slices"

	"github.com/shallotpier/shallotpier/internal/slope"
)

// Result is a measure's points, the line through them and what it gives at
// the target's size.
type Result struct {
	slope.Series
	// Line is fitted to the points.
	Line slope.Line `json:"line"`
	// Target is the size at the target.
	Target int `json:"target"`
	// AtTarget is the quantity that the line gives there.
	AtTarget float64 `json:"atTarget"`
}

// Measures returns the measures of all roles.
func Measures() []Measure {
	return slices.Concat(answering(), carrying(), belonging(), dividing(), configuring(), spreading(), news(), talking())
}

// Measured runs one measure and fits its line.
func Measured(m Measure) (Result, error) {
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

// Print writes a result as one line of a Markdown table.
func (r Result) Print(w io.Writer) {
	fmt.Fprintf(w, "| %s | %s | %s | %.4g | %.4g | %.4f | %.1f%% | %d | %.4g |\n",
		r.Role, r.Quantity, r.Size, r.Line.Intercept, r.Line.Slope, r.Line.R2, r.Line.Residual*100, r.Target, r.AtTarget)
}

// Header writes the head of the table that Print fills.
func Header(w io.Writer) {
	fmt.Fprintln(w, "| role | quantity | size | at 0 | for one more | R2 | residual | target | at target |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}
