package launch

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"

	"github.com/shallotpier/shallotpier/internal/logs"
	"github.com/shallotpier/shallotpier/internal/settings"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Exit codes of the programs.
const (
	exitOK     = 0
	exitFailed = 1
	exitFile   = 2
)

// Daemon is the main function of shallotpierd.
type Daemon struct {
	// Run runs the entry until ctx ends and then shuts it down gracefully; it
	// returns after the last running request has ended.
	Run func(ctx context.Context, s *settings.Settings, log *slog.Logger) error
	// Stderr receives the log and the errors in flags and settings.
	Stderr io.Writer
}

// Main runs the daemon and returns the exit code: 0 after a complete graceful
// shutdown, 1 after a failure or a second signal, 2 for invalid flags or
// settings.
func (d *Daemon) Main(args []string) int {
	path, check, err := d.flags(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		return exitFile
	}
	s, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(d.Stderr, err)
		return exitCode(err)
	}
	if check {
		return exitOK
	}
	log := logs.New(d.Stderr, s.Log).With("instance", s.Instance)
	if err := logs.RedirectLibraryLogs(log); err != nil {
		fmt.Fprintln(d.Stderr, err)
		return exitFailed
	}
	err = untilStopped(log, func(ctx context.Context) error { return d.Run(ctx, s, log) })
	if err != nil {
		log.Error("entry stopped", "error", err)
		return exitFailed
	}
	log.Info("entry stopped")
	return exitOK
}

func (d *Daemon) flags(args []string) (path string, check bool, err error) {
	flags := flag.NewFlagSet("shallotpierd", flag.ContinueOnError)
	flags.SetOutput(d.Stderr)
	flags.StringVar(&path, "settings", "", "settings `file` of the entry (see docs/SETTINGS.md)")
	flags.BoolVar(&check, "check", false, "check the settings and exit")
	if err := flags.Parse(args[1:]); err != nil {
		return "", false, err
	}
	if path == "" || flags.NArg() > 0 {
		flags.Usage()
		return "", false, errors.New("no settings file")
	}
	return path, check, nil
}

func exitCode(err error) int {
	var file *service.FileError
	if errors.As(err, &file) {
		return exitFile
	}
	return exitFailed
}
