// Package launch holds what the main functions of the daemon and of the
// stand-ins do: reading flags and files, setting up the log, and turning
// signals into an orderly stop.
//
// # Usage
//
//	d := launch.Daemon{Run: run, Stderr: os.Stderr}
//	os.Exit(d.Main(os.Args))
package launch
