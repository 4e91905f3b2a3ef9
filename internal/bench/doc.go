// Package bench measures HTTP targets on loopback, open loop, over several
// seeds, and two of them side by side.
//
// With two targets each seed's load runs against both at the same time with
// the same schedule, so that what the machine does meets both alike. The
// comparison is the ratio of their percentiles for each seed, reported as
// median with least and greatest.
//
// # Usage
//
//	b := bench.Bench{Targets: []string{through, direct}, Rate: 200, Duration: 5 * time.Second, Seeds: []uint64{1, 2, 3}}
//	report, err := b.Run(ctx)
//	if err != nil {
//		return err
//	}
//	report.WriteText(os.Stdout)
package bench
