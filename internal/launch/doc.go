// Package launch implements the main functions of shallotpierd and
// shallotpier-standin. It parses flags, reads files, sets up the log, and
// begins graceful shutdown on a signal.
//
// # Usage
//
//	d := launch.Daemon{Run: run, Stderr: os.Stderr}
//	os.Exit(d.Main(os.Args))
package launch
