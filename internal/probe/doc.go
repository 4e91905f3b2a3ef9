// Package probe performs active health checks of backend servers and reads
// their load reports.
//
// A [Prober] probes each server about once every [Prober.Period], with a limit
// on concurrent probes. The times are jittered, so that entries that start
// together don't probe in step. A measurement is dated by the time of the
// request, not of the answer. Answers may be late or wrong; package health
// combines them with passive health checks.
//
// A backend server answers GET /health with status 200 while it accepts
// requests, and GET /load with a JSON object of running, slots and draining. A
// server without /load, or with any other answer to it, has no load report.
//
// # Usage
//
//	p := &probe.Prober{Services: services, Probed: router.SetProbe, Reported: router.SetReport, Rand: rng}
//	go p.Run(ctx)
package probe
