package slope

import (
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
)

// MinPoints is the least number of points that a line is fitted to.
const MinPoints = 5

type (
	// Point is one measurement.
	Point struct {
		// X is the size at which it was taken.
		X float64 `json:"x"`
		// Y is the measured quantity.
		Y float64 `json:"y"`
	}

	// Series is one quantity measured at several sizes.
	Series struct {
		// Role names the role of a node that bears the cost.
		Role string `json:"role"`
		// Quantity names what was measured, with its unit.
		Quantity string `json:"quantity"`
		// Size names what X counts.
		Size string `json:"size"`
		// Points are the measurements.
		Points []Point `json:"points"`
	}

	// Line is a straight line through measured points.
	Line struct {
		// Intercept is the quantity at size 0.
		Intercept float64 `json:"intercept"`
		// Slope is the quantity for one more of the size.
		Slope float64 `json:"slope"`
		// R2 is the share of the variance that the line explains.
		R2 float64 `json:"r2"`
		// Residual is the greatest distance of a point from the line, as a
		// share of the largest measured quantity.
		Residual float64 `json:"residual"`
	}
)

// Fit fits a line by least squares. It returns an error for fewer than
// MinPoints points, for points of one size, and for values that aren't finite.
func Fit(points []Point) (Line, error) {
	if len(points) < MinPoints {
		return Line{}, eris.Errorf("%d points, want at least %d", len(points), MinPoints)
	}
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	a, b := stat.LinearRegression(xs, ys, nil, false)
	if !finite(a) || !finite(b) {
		return Line{}, eris.New("the points give no line")
	}
	line := Line{Intercept: a, Slope: b, R2: 1}
	if stat.Variance(ys, nil) > 0 {
		line.R2 = stat.RSquared(xs, ys, nil, a, b)
	}
	line.Residual = residual(line, points)
	return line, nil
}

// At returns the quantity that the line gives for a size.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

func residual(l Line, points []Point) float64 {
	far, top := 0.0, 0.0
	for _, p := range points {
		far = math.Max(far, math.Abs(p.Y-l.At(p.X)))
		top = math.Max(top, math.Abs(p.Y))
	}
	if top == 0 {
		return 0
	}
	return far / top
}

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
