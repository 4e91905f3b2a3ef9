package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/rotisserie/eris"
	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/logs"
	"github.com/shallotpier/shallotpier/internal/operator"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Exit codes.
const (
	// ExitDone means that the command succeeded.
	ExitDone = iota
	// ExitFailed means that the command failed for a reason without an exit code
	// of its own.
	ExitFailed
	// ExitUsage means that flags, operands or files are invalid.
	ExitUsage
	// ExitNotAllowed means that the operator is unknown or may not run the
	// command.
	ExitNotAllowed
	// ExitUnreachable means that the entry or the store is unreachable; nothing
	// was written to the store.
	ExitUnreachable
	// ExitRefused means that a check rejected the command.
	ExitRefused
	// ExitOvertaken means that another publication got the version.
	ExitOvertaken
	// ExitNotYetKnown means that the outcome is not known yet, or that a drain
	// continues.
	ExitNotYetKnown
	// ExitPromiseBroken means that a trial found a violated guarantee.
	ExitPromiseBroken
)

const (
	outputText = "text"
	outputJSON = "json"
)

type (
	// App is the command line.
	App struct {
		// Stdin is read by commands that are given no files.
		Stdin io.Reader
		// Stdout receives results.
		Stdout io.Writer
		// Stderr receives progress and errors.
		Stderr io.Writer
		// Terminal reports whether Stderr is a terminal; only then is the
		// progress of a trial shown.
		Terminal bool

		output        string
		actionStarted bool
	}

	// textResult is a result with a text form; its JSON form is encoded by
	// encoding/json.
	textResult interface {
		// text writes the text form.
		text(w io.Writer) error
	}
)

// Run runs the command in args, which start with the program's name, and returns
// the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	if err := logs.RedirectLibraryLogs(slog.New(slog.DiscardHandler)); err != nil {
		fmt.Fprintln(a.Stderr, err)
		return ExitFailed
	}
	err := a.root().Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(a.Stderr, "shallotpier:", err)
	return a.exitCode(err)
}

func (a *App) root() *urfave.Command {
	return &urfave.Command{
		Name:                  "shallotpier",
		Usage:                 "inspect and operate entries, publish service files, run trials and benchmarks",
		Description:           "Examples:\n   shallotpier check services/\n   shallotpier publish --store 10.0.0.1:7000 services/\n   shallotpier --output json status --entry 10.0.1.1:7300\n\nShell completion:\n   source <(shallotpier completion bash)",
		EnableShellCompletion: true,
		Writer:                a.Stdout,
		ErrWriter:             a.Stderr,
		ExitErrHandler:        func(context.Context, *urfave.Command, error) {},
		Flags: []urfave.Flag{
			&urfave.StringFlag{
				Name: "output", Aliases: []string{"o"}, Value: outputText, Destination: &a.output,
				Usage: "output format: text or json", Validator: checkOutput,
			},
		},
		Action: func(_ context.Context, cmd *urfave.Command) error {
			if name := cmd.Args().First(); name != "" {
				return eris.Errorf("there is no command %q; see shallotpier help", name)
			}
			return urfave.ShowRootCommandHelp(cmd)
		},
		Commands: a.commands(),
	}
}

func (a *App) commands() []*urfave.Command {
	return []*urfave.Command{
		a.checkCommand(),
		a.checkConfigCommand(),
		a.statusCommand(),
		a.explainCommand(),
		a.lateCommand(),
		a.drainCommand(),
		a.undrainCommand(),
		a.quarantineCommand(),
		a.publishCommand(),
		a.historyCommand(),
		a.benchCommand(),
		a.trialCommand(),
	}
}

func checkOutput(s string) error {
	if s != outputText && s != outputJSON {
		return eris.Errorf("output %q: want text or json", s)
	}
	return nil
}

// action returns act as the action of a command. An error before act is called
// comes from the parsing of flags and counts as a usage error.
func (a *App) action(act func(ctx context.Context, cmd *urfave.Command) error) urfave.ActionFunc {
	return func(ctx context.Context, cmd *urfave.Command) error {
		a.actionStarted = true
		return act(ctx, cmd)
	}
}

// usageError reports invalid flags or operands.
type usageError struct{ text string }

// Error returns the description of the error.
func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// exitError is an error with an exit code.
type exitError struct {
	code int
	text string
}

// Error returns the description of the error.
func (e *exitError) Error() string { return e.text }

func (a *App) exitCode(err error) int {
	var (
		usage *usageError
		exit  *exitError
		file  *service.FileError
		entry *operator.Error
	)
	switch {
	case !a.actionStarted, errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &entry):
		return entryExitCode(entry.Code)
	case errors.As(err, &file):
		return ExitUsage
	default:
		return ExitFailed
	}
}

func entryExitCode(code result.Code) int {
	switch code {
	case result.OperatorUnknown, result.OperatorRole:
		return ExitNotAllowed
	case result.EntryUnreachable:
		return ExitUnreachable
	case result.DrainUnsafe:
		return ExitRefused
	case result.BadCommand, result.NoTarget:
		return ExitUsage
	case result.WaitEnded:
		return ExitNotYetKnown
	default:
		return ExitFailed
	}
}

// show writes a result in the chosen output format.
func (a *App) show(v textResult) error {
	if a.output == outputText {
		return eris.Wrap(v.text(a.Stdout), "write result")
	}
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(v), "write result")
}

// progressf writes a line of progress to the standard error.
func (a *App) progressf(format string, args ...any) {
	fmt.Fprintf(a.Stderr, format+"\n", args...)
}
