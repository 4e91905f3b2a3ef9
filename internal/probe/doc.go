// Package probe asks backend servers for their health and their load.
//
// A [Prober] asks each server in turn, a few at a time, about every
// [Prober.Period], with jitter, so that a fleet that starts together doesn't
// probe together. It takes the time of the ask, not of the answer, as the
// measurement's time. What an answer says may be late or wrong; package health
// weighs it against what requests met.
//
// The contract with a backend server: GET /health answers 200 while it takes
// requests, GET /load answers a JSON object with running, slots and draining.
// A server that has no /load, or answers something else, has no report.
//
// # Usage
//
//	p := &probe.Prober{Services: services, Probed: router.SetProbe, Reported: router.SetReport, Rand: rng}
//	go p.Run(ctx)
package probe
