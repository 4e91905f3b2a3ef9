// Package openloop generates open-loop load: requests are sent on a schedule
// that does not depend on responses.
//
// Arrivals are a Poisson process with a fixed seed. Latency is measured from the
// scheduled time, to avoid coordinated omission: a stall of the system under
// load is included in the latency of every request scheduled during the stall,
// even if the request was sent late because the limit of concurrent requests was
// reached.
//
// # Usage
//
//	load := openloop.Load{Rate: 500, Duration: 5 * time.Second, Seed: 1}
//	r := load.Run(ctx, func(ctx context.Context, n int) error { return get(ctx, url) })
//	fmt.Println(r.Percentiles())
package openloop
