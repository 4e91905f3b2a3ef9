// Package bench is an open-loop HTTP load generator for one or two targets on
// the loopback interface.
//
// The load is repeated for several seeds. With two targets, each seed runs
// against both at the same time and with the same schedule, so that other load
// on the machine affects both equally. The comparison is the ratio of their
// latency percentiles for each seed, reported as median, minimum and maximum.
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
