// Package openloop sends load by a schedule that doesn't wait for answers.
//
// Arrivals are a Poisson process of a fixed seed. Latency is counted from the
// scheduled time, so that a stall of the system under load counts for every
// request that should have been sent during it, also when the sender had to
// wait for one of its own places.
//
// # Usage
//
//	load := openloop.Load{Rate: 500, Duration: 5 * time.Second, Seed: 1}
//	r := load.Run(ctx, func(ctx context.Context, n int) error { return get(ctx, url) })
//	fmt.Println(r.Percentiles())
package openloop
