// Package cli is the command line for operators, shallotpier.
//
// An [App] runs one command and returns an exit code that scripts may rely on;
// docs/operators/commands.md lists them. Results go to the standard output,
// as text or as JSON; progress and problems go to the standard error.
//
// # Usage
//
//	app := cli.App{Stdout: os.Stdout, Stderr: os.Stderr}
//	os.Exit(app.Run(ctx, os.Args))
package cli
