// Package slope fits straight lines to measured points, so that the cost of a
// role at a size that no single machine reaches can be worked out from sizes
// that it does reach.
//
// A [Series] holds the points of one quantity over one size. [Fit] gives the
// [Line] and says how far the points lie from it; whoever extends a line past
// its last point should look at the residual first.
//
// # Usage
//
//	line, err := slope.Fit(series.Points)
//	atTarget := line.At(100_000)
package slope
