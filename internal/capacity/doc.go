// Package capacity measures what each role of a node costs at several sizes
// and works out from the fitted lines what it costs at the target's size.
//
// A [Measure] runs one piece of the product at each of its sizes and returns a
// quantity: bytes of memory, microseconds of processor time, bytes of a
// message. [Measure.Series] collects the points, and package slope fits the
// line. docs/CAPACITY.md is written from the output; the figures depend on the
// machine, the lines' shape doesn't.
//
// # Usage
//
//	for _, m := range capacity.Measures() {
//		line, err := slope.Fit(m.Series().Points)
//	}
package capacity
