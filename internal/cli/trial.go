package cli

import (
	"context"
	"io"
	"log/slog"
	"path/filepath"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/trial"
)

type trialReport trial.Report

func (r *trialReport) text(w io.Writer) error { return (*trial.Report)(r).WriteText(w) }

func (a *App) trialCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "trial",
		Usage: "run a whole deployment in this process and check the guarantees",
		Description: "Starts all entries, the platform and the backend servers on loopback with the deployment's one-way delays, generates load, " +
			"and drains a backend server and stops an entry during the run.\n\nExamples:\n   shallotpier trial\n   shallotpier trial --deployment dansk --seed 7 --json",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "deployment", Value: "beridze", Usage: "`NAME` of a folder in examples, or the path of another folder"},
			&urfave.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the random choices"},
			&urfave.BoolFlag{Name: "json", Usage: "write the report as JSON, like --output json"},
			&urfave.BoolFlag{Name: "log", Usage: "write the entries' logs to the standard error"},
		},
		Action: a.action(func(ctx context.Context, cmd *urfave.Command) error {
			if cmd.Bool("json") {
				a.output = outputJSON
			}
			return a.trial(ctx, cmd)
		}),
	}
}

func (a *App) trial(ctx context.Context, cmd *urfave.Command) error {
	folder := cmd.String("deployment")
	if filepath.Base(folder) == folder {
		folder = filepath.Join("examples", folder)
	}
	t := trial.Trial{Folder: folder, Seed: cmd.Uint64("seed")}
	if a.Terminal {
		t.Progress = func(text string) { a.progressf("%s", text) }
	}
	if cmd.Bool("log") {
		t.Log = slog.New(slog.NewTextHandler(a.Stderr, nil))
	}
	r, err := t.Run(ctx)
	if err != nil {
		return err
	}
	if err := a.show((*trialReport)(r)); err != nil {
		return err
	}
	if r.Broken() {
		return &exitError{code: ExitPromiseBroken, text: "the trial found a violated guarantee"}
	}
	return nil
}
