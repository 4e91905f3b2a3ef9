// Command shallotpier-entry is an entry instance on the users' platform. It reads
// the settings file that the environment variable SHALLOTPIER_SETTINGS names,
// logs to standard output, and stops as planned at SIGTERM.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/shallotpier/shallotpier/internal/logpipe"
	"github.com/shallotpier/shallotpier/platform"
)

// queuedLines is how many log lines may wait for a slow reader.
const queuedLines = 4096

func main() {
	os.Exit(run())
}

func run() int {
	out := logpipe.New(os.Stdout, queuedLines)
	defer out.Close()
	log := slog.New(slog.NewTextHandler(out, nil))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // changed settings are noticed without it
	settings, err := platform.Load(os.Getenv(platform.SettingsVariable))
	if err != nil {
		log.Error("settings rejected", "err", err.Error())
		return 1
	}
	if err := platform.Run(ctx, settings, log); err != nil {
		log.Error("ended", "err", err.Error())
		return 1
	}
	return 0
}
