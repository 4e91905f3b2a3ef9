// Package trial runs a complete deployment in one process, on loopback with the
// deployment's one-way network delays, under load and routine disruptions, and
// checks the system's guarantees against the results.
//
// A [Trial] starts the stand-ins (the simulated platform and backend servers)
// and all entries, publishes the service files twice, and sends lookups, reads,
// at-most-once writes with deliberate retries, and uploads. Meanwhile it drains
// the backend server that runs a long upload and shuts down the entry that
// carries another one. The results that callers received are recorded as
// [Attempt]s; the actual executions are read from the records of the stand-ins.
// A [Promise] for which nothing could be checked counts as broken.
//
// Run returns an error if the trial itself failed; broken promises are reported
// in the [Report] only. Durations in the report are in seconds and rates in
// requests or bits per second.
//
// # Usage
//
//	t := trial.Trial{Folder: "examples/beridze", Seed: 1}
//	report, err := t.Run(ctx)
//	if err != nil {
//		return err
//	}
//	report.WriteText(os.Stdout)
package trial
