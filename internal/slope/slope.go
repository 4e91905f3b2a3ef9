package slope

import (
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
)

// MinPoints is the minimum number of points for Fit.
const MinPoints = 5

type (
	// Point is one measurement.
	Point struct {
		// X is the size at which the quantity was measured.
		X float64 `json:"x"`
		// Y is the measured quantity.
		Y float64 `json:"y"`
	}

	// Series holds the measurements of one quantity at several sizes.
	Series struct {
		// Role is the role of a node that incurs the cost.
		Role string `json:"role"`
		// Quantity is the name of the measured quantity, with its unit.
		Quantity string `json:"quantity"`
		// Size is the name of what X counts.
		Size string `json:"size"`
		// Points are the measurements.
		Points []Point `json:"points"`
	}

	// Line is a straight line fitted to points.
	Line struct {
		// Intercept is the quantity at size 0.
		Intercept float64 `json:"intercept"`
		// Slope is the increase of the quantity per unit of size.
		Slope float64 `json:"slope"`
		// R2 is the coefficient of determination, the fraction of the variance
		// that the line explains.
		R2 float64 `json:"r2"`
		// Residual is the largest absolute residual, as a fraction of the
		// largest absolute value of the measured quantity.
		Residual float64 `json:"residual"`
	}
)

// Fit fits a line by least squares. It returns an error if there are fewer than
// MinPoints points, if all points have the same size, or if a value isn't finite.
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
		return Line{}, eris.New("no line fits the points: all sizes are equal or a value is not finite")
	}
	line := Line{Intercept: a, Slope: b, R2: 1}
	if stat.Variance(ys, nil) > 0 {
		line.R2 = stat.RSquared(xs, ys, nil, a, b)
	}
	line.Residual = residual(line, points)
	return line, nil
}

// At returns the quantity that the line predicts for a size.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

func residual(l Line, points []Point) float64 {
	largest, scale := 0.0, 0.0
	for _, p := range points {
		largest = math.Max(largest, math.Abs(p.Y-l.At(p.X)))
		scale = math.Max(scale, math.Abs(p.Y))
	}
	if scale == 0 {
		return 0
	}
	return largest / scale
}

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
