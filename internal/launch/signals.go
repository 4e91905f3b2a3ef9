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

// errForced means that a second signal ended the program.
var errForced = eris.New("stopped by a second signal, running requests were cut")

// handlerFrame is the goroutine in which go-zero installs its signal handlers
// and waits for signals.
const handlerFrame = "core/proc.init"

// handlerLimit bounds the wait for that goroutine.
const handlerLimit = 5 * time.Second

// awaitHandlers returns when go-zero's signal handlers, which end the process
// while requests run, are installed, so that a reset takes them out. go-zero
// installs them in a goroutine that its import starts, at any later time; they
// are in place when the goroutine waits on its channel.
func awaitHandlers() {
	for end := time.Now().Add(handlerLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if waits, found := goroutineWaits(handlerFrame); waits || !found {
			return
		}
	}
}

// goroutineWaits tells whether there is a goroutine with the frame, and
// whether it waits on a channel.
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

// untilStopped runs work. The first signal ends its context, and the second
// makes untilStopped return without waiting for work.
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
			log.Info("signal received, draining; a second one forces the end", "signal", s.String())
			cancel()
		}
	}
}
