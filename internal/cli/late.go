package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/lateness"
	"github.com/shallotpier/shallotpier/internal/logread"
)

type lateReport lateness.Report

func (a *App) lateCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "late",
		Usage:     "count the late requests in the logs of entries, by cause",
		ArgsUsage: "[FILE...]",
		Description: "Reads the log files, or the standard input, and counts the served requests that took longer than the objective of their route.\n\n" +
			"Examples:\n   shallotpier late entry-*.log\n   shallotpier late --by kind --over 500ms entry.log\n   shallotpier --output json late --since 2026-02-24T07:00:00Z --until 2026-02-24T08:00:00Z < all.log",
		Flags: []urfave.Flag{
			&urfave.DurationFlag{Name: "over", Usage: "count requests that took longer than `DURATION` in place of the objective"},
			&urfave.StringFlag{Name: "by", Usage: "divide the requests by `GROUPING`: kind, or zone of the server"},
			&urfave.StringFlag{Name: "since", Usage: "count answers from this `TIME` on, such as 2026-02-24T07:26:00Z"},
			&urfave.StringFlag{Name: "until", Usage: "count answers before this `TIME`"},
		},
		Action: a.action(func(_ context.Context, cmd *urfave.Command) error {
			t, err := newTally(cmd)
			if err != nil {
				return err
			}
			if err := a.eachEvent(cmd.Args().Slice(), func(l *logread.Line) {
				if r, ok := lateness.FromLine(l); ok {
					t.Add(&r)
				}
			}); err != nil {
				return err
			}
			report := t.Report()
			if len(report.Groups) == 0 {
				return eris.New("no line of a served request in the logs")
			}
			return a.show((*lateReport)(report))
		}),
	}
}

func newTally(cmd *urfave.Command) (*lateness.Tally, error) {
	t := &lateness.Tally{Over: cmd.Duration("over"), By: lateness.Grouping(cmd.String("by"))}
	if t.By != lateness.Together && t.By != lateness.ByKind && t.By != lateness.ByZone {
		return nil, usagef("by %q: want kind or zone", t.By)
	}
	if t.Over < 0 {
		return nil, usagef("over %v: want a duration above 0", t.Over)
	}
	var err error
	if t.Since, err = timeFlag(cmd, "since"); err != nil {
		return nil, err
	}
	t.Until, err = timeFlag(cmd, "until")
	return t, err
}

// timeFlag returns the time in a flag, zero if it isn't set.
func timeFlag(cmd *urfave.Command, name string) (time.Time, error) {
	text := cmd.String(name)
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, usagef("%s %q: want a time such as 2026-02-24T07:26:00Z", name, text)
	}
	return at, nil
}

// eachEvent calls use for each event of the log files, or of the standard input if there are
// none.
func (a *App) eachEvent(paths []string, use func(*logread.Line)) error {
	if len(paths) == 0 {
		if a.Stdin == nil {
			return usagef("name the log files to read")
		}
		return logread.Each(a.Stdin, use)
	}
	for _, path := range paths {
		if err := eachEventOf(path, use); err != nil {
			return err
		}
	}
	return nil
}

func eachEventOf(path string, use func(*logread.Line)) error {
	f, err := os.Open(path)
	if err != nil {
		return usagef("log: %s", err)
	}
	defer func() { _ = f.Close() }()
	return eris.Wrapf(logread.Each(f, use), "log %q", path)
}

func (r *lateReport) text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	for i := range r.Groups {
		writeLateGroup(t, &r.Groups[i])
	}
	return t.Flush()
}

func writeLateGroup(w io.Writer, g *lateness.Group) {
	if g.Name != "" {
		fmt.Fprintf(w, "%s: ", g.Name)
	}
	fmt.Fprintf(w, "%d of %d served requests late\n", g.Late, g.Served)
	if g.WithoutObjective > 0 {
		fmt.Fprintf(w, "%d without an objective, not counted as late; set --over to count them\n", g.WithoutObjective)
	}
	if g.Late == 0 {
		return
	}
	fmt.Fprintln(w, "CAUSE\tREQUESTS\tSHARE\tMEDIAN\tP99")
	for _, row := range g.Rows {
		fmt.Fprintf(w, "%s\t%d\t%.1f%%\t%v\t%v\n", row.Cause, row.Requests, 100*row.Share,
			row.Median.Std().Round(time.Millisecond), row.P99.Std().Round(time.Millisecond))
	}
}
