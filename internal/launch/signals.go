package launch

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// errForced means that a second signal interrupted graceful shutdown.
var errForced = eris.New("stopped by a second signal, running requests were aborted")

// handlerFrame is the function whose goroutine installs go-zero's signal
// handlers and waits for signals.
const handlerFrame = "core/proc.init"

// handlerTimeout bounds the wait for that goroutine.
const handlerTimeout = 5 * time.Second

// awaitHandlers waits until go-zero has installed its signal handlers, so that
// signal.Reset removes them: they would end the process while requests run.
// Importing go-zero starts a goroutine that installs them at an unspecified
// time; they are installed once that goroutine waits on its channel.
func awaitHandlers() {
	for end := time.Now().Add(handlerTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if waits, found := goroutineWaits(handlerFrame); waits || !found {
			return
		}
	}
}

// goroutineWaits reports whether there is a goroutine with the frame in its
// stack, and whether it waits on a channel.
func goroutineWaits(frame string) (waits, found bool) {
	buf := make([]byte, 1<<20)
	buf = buf[:runtime.Stack(buf, true)]
	for _, g := range strings.Split(string(buf), "\n\n") {
		if strings.Contains(g, frame) {
			head, _, _ := strings.Cut(g, "\n")
			return strings.Contains(head, "chan receive"), true
		}
	}
	return false, false
}

// untilStopped runs work and returns its error. SIGTERM or SIGINT cancels
// work's context; a second signal makes untilStopped return errForced without
// waiting for work.
func untilStopped(log *slog.Logger, work func(ctx context.Context) error) error {
	awaitHandlers()
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
			log.Info("signal received, draining; a second signal ends the process at once", "signal", s.String())
			cancel()
		}
	}
}
