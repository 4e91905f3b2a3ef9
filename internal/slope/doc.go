// Package slope fits straight lines to measurements. It serves to extrapolate the
// cost of a role of a node from sizes that one machine can run to sizes that it
// can't.
//
// A [Series] holds the measurements of one quantity at several sizes. [Fit]
// returns the [Line] with its coefficient of determination and largest residual.
// Check the residual before extrapolating beyond the last point.
//
// # Usage
//
//	line, err := slope.Fit(series.Points)
//	atTarget := line.At(100_000)
package slope
