// Command shallotpier-entry is an entry instance on the users' platform. It reads
// the settings file that the environment variable SHALLOTPIER_SETTINGS names,
// logs to standard output, and stops as planned at SIGTERM.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shallotpier/shallotpier/internal/logpipe"
	"github.com/shallotpier/shallotpier/internal/reload"
	"github.com/shallotpier/shallotpier/platform"
)

const (
	// queuedLines is how many log lines may wait for a slow reader.
	queuedLines = 2048
	// gcPercent lets the heap grow by half between two collections: an entry
	// has little memory and collects in well under a millisecond.
	gcPercent = 50
)

func main() {
	os.Exit(run())
}

func run() int {
	debug.SetGCPercent(gcPercent)
	out := logpipe.New(os.Stdout, queuedLines)
	defer func() { _ = out.Close() }()
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: logpipe.PlainError}))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.Load(path)
	if err != nil {
		log.Error("settings rejected", "err", err)
		return 1
	}
	set := metrics.NewSet()
	set.NewGauge("shallotpier_log_lines_dropped_total", func() float64 { return float64(out.Dropped()) })
	watch := &reload.Watch[platform.Settings]{Path: path, Load: platform.Load, Signal: hangup, Log: log}
	if err := platform.Run(ctx, settings, watch, log, set); err != nil {
		log.Error("ended", "err", err)
		return 1
	}
	return 0
}
