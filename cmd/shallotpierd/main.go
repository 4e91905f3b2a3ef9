// Command shallotpierd is the daemon that runs one entry instance.
package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/shallotpier/shallotpier/internal/daemon"
	"github.com/shallotpier/shallotpier/internal/launch"
	"github.com/shallotpier/shallotpier/internal/settings"
)

func main() {
	l := launch.Daemon{Run: run, Stderr: os.Stderr}
	os.Exit(l.Main(os.Args))
}

func run(ctx context.Context, s *settings.Settings, log *slog.Logger) error {
	d := daemon.Daemon{Settings: s, Log: log}
	return d.Run(ctx)
}
