package launch

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
)

// errForced means that a second signal ended the program.
var errForced = eris.New("stopped by a second signal, running requests were cut")

// untilStopped runs work. The first signal ends its context, and the second
// makes untilStopped return without waiting for work.
func untilStopped(log *slog.Logger, work func(ctx context.Context) error) error {
	// go-zero installs handlers of its own when it is imported; they would end
	// the process while requests run.
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- work(ctx) }()
	for {
		select {
		case err := <-done:
			return err
		case s := <-signals:
			if ctx.Err() != nil {
				return errForced
			}
			log.Info("signal received, draining; a second one forces the end", "signal", s.String())
			cancel()
		}
	}
}
