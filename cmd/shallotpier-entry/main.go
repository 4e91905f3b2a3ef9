// Command shallotpier-entry runs an entry instance on the users' platform. It reads
// the settings file at the path in the environment variable SHALLOTPIER_SETTINGS,
// reloads it when it changes or on SIGHUP, logs to standard output, and shuts down
// gracefully on SIGTERM or SIGINT.
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
	// logQueueLines is how many log lines are queued while the reader of standard
	// output is slow; further lines are dropped.
	logQueueLines = 2048
	// gcPercent lets the heap grow by half between two garbage collections: an
	// entry has little memory, and a collection takes well under a millisecond.
	gcPercent = 50
)

func main() {
	os.Exit(run())
}

func run() int {
	debug.SetGCPercent(gcPercent)
	out := logpipe.New(os.Stdout, logQueueLines)
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
