// Package trial runs a whole deployment in one process, on loopback and with
// its one-way delays, puts the everyday faults on it, and holds what was seen
// against the promises.
//
// A [Trial] starts the stand-ins and every entry, publishes the service files
// twice, carries look-ups, reads, once-only writes with deliberate resends and
// uploads, drains the backend server that runs a long upload, and stops the
// entry that carries another. What callers were told is kept as [Attempt]s;
// what really happened is read from the stand-ins' own records. A [Promise]
// that had nothing to be held against counts as broken.
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
