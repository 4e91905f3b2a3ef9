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
	// ExitDone means that the command did what it says.
	ExitDone = iota
	// ExitFailed means that something else stopped the command.
	ExitFailed
	// ExitUsage means wrong flags, operands or files.
	ExitUsage
	// ExitNotAllowed means that the operator may not do this.
	ExitNotAllowed
	// ExitUnreachable means that the entry or the store can't be asked, and
	// that nothing was written.
	ExitUnreachable
	// ExitRefused means that a check refused the command.
	ExitRefused
	// ExitOvertaken means that another publication has the version.
	ExitOvertaken
	// ExitNotYetKnown means that the outcome is not certain, or that a drain
	// goes on.
	ExitNotYetKnown
	// ExitPromiseBroken means that a trial saw a promise broken.
	ExitPromiseBroken
)

const (
	outputText = "text"
	outputJSON = "json"
)

type (
	// App is the command line.
	App struct {
		// Stdout gets results.
		Stdout io.Writer
		// Stderr gets progress and problems.
		Stderr io.Writer
		// Terminal tells whether Stderr is one, so that progress is shown.
		Terminal bool

		output string
		acted  bool
	}

	// table is a result as text.
	table interface {
		// text writes the result for people.
		text(w io.Writer) error
	}
)

// Run runs the command that args, the program's name first, asks for and
// returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	if err := logs.Adopt(slog.New(slog.DiscardHandler)); err != nil {
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
		Usage:                 "steer traffic to backend servers that are upgraded every night",
		Description:           "Examples:\n   shallotpier check services/\n   shallotpier publish --store 10.0.0.1:7000 services/\n   shallotpier --output json status --entry 10.0.1.1:7300\n\nShell completion:\n   source <(shallotpier completion bash)",
		EnableShellCompletion: true,
		Writer:                a.Stdout,
		ErrWriter:             a.Stderr,
		ExitErrHandler:        func(context.Context, *urfave.Command, error) {},
		Flags: []urfave.Flag{
			&urfave.StringFlag{
				Name: "output", Aliases: []string{"o"}, Value: outputText, Destination: &a.output,
				Usage: "form of the result: text or json", Validator: checkOutput,
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
		a.statusCommand(),
		a.explainCommand(),
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

// action marks that flags and operands were right before it acts.
func (a *App) action(act func(ctx context.Context, cmd *urfave.Command) error) urfave.ActionFunc {
	return func(ctx context.Context, cmd *urfave.Command) error {
		a.acted = true
		return act(ctx, cmd)
	}
}

// usageError says that flags or operands are wrong.
type usageError struct{ text string }

// Error returns what is wrong.
func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// exitError carries an exit code with an error.
type exitError struct {
	code int
	text string
}

// Error returns what stopped the command.
func (e *exitError) Error() string { return e.text }

func (a *App) exitCode(err error) int {
	var (
		usage *usageError
		exit  *exitError
		file  *service.FileError
		entry *operator.Error
	)
	switch {
	case !a.acted, errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &entry):
		return entryExit(entry.Code)
	case errors.As(err, &file):
		return ExitUsage
	default:
		return ExitFailed
	}
}

func entryExit(code result.Code) int {
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

// show writes a result in the chosen form.
func (a *App) show(v table) error {
	if a.output == outputText {
		return eris.Wrap(v.text(a.Stdout), "write result")
	}
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(v), "write result")
}

// progressf writes progress.
func (a *App) progressf(format string, args ...any) {
	fmt.Fprintf(a.Stderr, format+"\n", args...)
}
