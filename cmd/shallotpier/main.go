// Command shallotpier is the command line for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/shallotpier/shallotpier/internal/cli"
)

func main() { os.Exit(run()) }

func run() int {
	// go-zero installs its own signal handlers when it is imported.
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	app := cli.App{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Terminal: isTerminal(os.Stderr)}
	return app.Run(ctx, os.Args)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
