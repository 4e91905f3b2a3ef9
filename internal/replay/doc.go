// Package replay simulates a trace of requests with several policies that divide
// the slots of a service's backend servers among the entries, and compares the
// policies.
//
// A [Trace] lists requests with their arrival time, entry, class and service
// time; docs/design/trace.md describes the format. An [Environment] holds the
// deployment and the service file. Every policy gets the same trace, the same
// one-way delays and the same seed. The shares policy runs node.Node, the
// production code of the daemon.
//
// A backend server processes as many requests as it has slots. Further requests
// are queued at the server, and each such arrival is counted as an overload. A
// request that gets no slot by its deadline minus the mean service time of its
// class is refused. The replay is deterministic: the same input gives the same
// output, byte for byte.
//
// # Usage
//
//	trace, err := replay.Parse(file)
//	report, err := replay.Compare(env, trace, replay.Options{Seed: 1}, replay.Policies()...)
//	report.WriteText(os.Stdout)
package replay
