// Package cli implements shallotpier, the command line for operators.
//
// An [App] runs one command and returns its exit code. The exit codes are stable
// and listed in docs/operators/commands.md. Results are written to the standard
// output, as text or JSON; progress and errors to the standard error.
//
// # Usage
//
//	app := cli.App{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
//	os.Exit(app.Run(ctx, os.Args))
package cli
