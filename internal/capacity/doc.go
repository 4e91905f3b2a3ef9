// Package capacity measures the cost of each role of a node at several sizes and
// extrapolates it to the size of the target deployment.
//
// A [Measure] runs production code at several sizes and returns a quantity for
// each: bytes of memory, microseconds of processor time or bytes of a message.
// [Measure.Series] collects the points, and package slope fits a line to them.
// docs/CAPACITY.md contains the results. The values depend on the machine, but
// whether they grow linearly with the size does not.
//
// # Usage
//
//	for _, m := range capacity.Measures() {
//		result, err := capacity.Run(m)
//		if err != nil {
//			return err
//		}
//		result.Print(os.Stdout)
//	}
package capacity
