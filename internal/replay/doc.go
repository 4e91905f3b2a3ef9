// Package replay runs a recorded trace through policies that divide the slots
// of a service's backend servers among the entries, and compares them.
//
// A [Trace] says when requests arrive, at which entry, of which class, and how
// long a backend server takes for each; docs/design/trace.md has its format. A
// [World] is the deployment and the service file. Each policy sees the same
// trace, the same one-way delays and the same seed. The shares policy is
// node.Node, the code of the daemon.
//
// A backend server runs as many requests as it has slots; a further one waits
// at the server, and its arrival is counted as a moment of overload. A request
// that gets no slot before its deadline less the mean time that requests of its
// class take is refused. The output depends on nothing else: it is the same to
// the byte for the same input.
//
// # Usage
//
//	trace, err := replay.Parse(file)
//	report, err := replay.Compare(world, trace, replay.Options{Seed: 1}, replay.Policies()...)
//	report.WriteText(os.Stdout)
package replay
