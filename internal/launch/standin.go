package launch

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"

	"github.com/shallotpier/shallotpier/internal/logs"
	"github.com/shallotpier/shallotpier/internal/settings"
	"github.com/shallotpier/shallotpier/internal/standin/fleet"
)

// StandIn is the main function of shallotpier-standin.
type StandIn struct {
	// Stderr receives the log and the errors in flags and files.
	Stderr io.Writer
}

// Main runs the simulated platform and backend servers of a deployment until
// the process receives a signal. It returns the exit code: 0 after a signal, 1
// if starting or stopping failed, 2 for invalid flags or files.
func (s *StandIn) Main(args []string) int {
	flags := flag.NewFlagSet("shallotpier-standin", flag.ContinueOnError)
	flags.SetOutput(s.Stderr)
	folder := flags.String("deployment", "examples/beridze", "`folder` with deployment.toml and services/")
	address := flags.String("platform", "127.0.0.1:21090", "`address` of the platform's store and instance list")
	switch err := flags.Parse(args[1:]); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitFile
	}
	platform, err := netip.ParseAddrPort(*address)
	if err != nil {
		fmt.Fprintln(s.Stderr, "platform:", err)
		return exitFile
	}
	f, err := fleet.Load(*folder)
	if err != nil {
		fmt.Fprintln(s.Stderr, err)
		return exitCode(err)
	}
	f.Platform = platform
	return s.run(f)
}

func (s *StandIn) run(f *fleet.Fleet) int {
	log := logs.New(s.Stderr, settings.Log{Level: settings.Info, Format: settings.KeyValue})
	if err := logs.RedirectLibraryLogs(log); err != nil {
		fmt.Fprintln(s.Stderr, err)
		return exitFailed
	}
	if err := f.Start(); err != nil {
		log.Error("stand-ins not started", "error", err)
		return exitFailed
	}
	log.Info("stand-ins started", "deployment", f.Deployment.Name, "platform", f.Platform, "services", len(f.Files))
	err := untilStopped(log, func(ctx context.Context) error {
		<-ctx.Done()
		return f.Close()
	})
	if err != nil {
		log.Error("stand-ins stopped", "error", err)
		return exitFailed
	}
	return exitOK
}
