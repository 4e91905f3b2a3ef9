package cli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
	"time"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/publish"
	"github.com/shallotpier/shallotpier/internal/store/httpstore"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const publishWait = 30 * time.Second

type (
	publishResult struct {
		Ticket     string             `json:"ticket,omitempty"`
		Difference publish.Difference `json:"difference"`
		Outcome    *publish.Outcome   `json:"outcome,omitempty"`

		allKeys bool
	}

	versions []versionRow

	versionRow struct {
		Version  id.Version `json:"version"`
		Author   string     `json:"author"`
		At       time.Time  `json:"at"`
		Services int        `json:"services"`
		Changes  int        `json:"changes"`
	}

	changes publish.Difference
)

func (a *App) publishCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "publish",
		Usage:     "publish service files: show the changes and submit them",
		ArgsUsage: "FOLDER|FILE...",
		Description: "Each file replaces the published file of the same service; other services stay unchanged. The command prints a ticket, with which " +
			"--find shows the outcome later, also after an interruption.\n\nExamples:\n   shallotpier publish --store 10.0.0.1:7000 --deployment deployment.toml services/\n" +
			"   shallotpier publish --store 10.0.0.1:7000 --dry-run services/\n   shallotpier publish --store 10.0.0.1:7000 --find 7/9f3c61",
		Flags: []urfave.Flag{
			storeFlag(), deploymentFlag(),
			&urfave.StringFlag{Name: "author", Usage: "`NAME` of the publisher", Sources: urfave.EnvVars("USER")},
			&urfave.StringSliceFlag{Name: "remove", Usage: "remove this `SERVICE`; may be repeated"},
			&urfave.Uint64Flag{Name: "base", Usage: "`VERSION` that the change is based on; if another version is active, the submission is rejected"},
			&urfave.BoolFlag{Name: "all", Usage: "show all keys of added and removed services"},
			&urfave.BoolFlag{Name: "dry-run", Usage: "show the changes and submit nothing"},
			&urfave.StringFlag{Name: "find", Usage: "show the outcome of the submission with this `TICKET`"},
			&urfave.DurationFlag{Name: "wait", Value: publishWait, Usage: "maximum `TIME` to wait for a definite outcome"},
		},
		Action: a.action(a.publish),
	}
}

func storeFlag() urfave.Flag {
	return &urfave.StringFlag{Name: "store", Required: true, Usage: "`ADDRESS` of the platform's store", Sources: urfave.EnvVars("SHALLOTPIER_STORE")}
}

func newPublisher(cmd *urfave.Command) (*publish.Publisher, error) {
	address, err := netip.ParseAddrPort(cmd.String("store"))
	if err != nil {
		return nil, usagef("store %q: want an IP address and port, such as 10.0.0.1:7000", cmd.String("store"))
	}
	return &publish.Publisher{Store: &httpstore.Client{Base: "http://" + address.String()}, Author: cmd.String("author")}, nil
}

func (a *App) publish(ctx context.Context, cmd *urfave.Command) error {
	p, err := newPublisher(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("wait"))
	defer cancel()
	if text := cmd.String("find"); text != "" {
		var t publish.Ticket
		if err := t.UnmarshalText([]byte(text)); err != nil {
			return usagef("%s", err)
		}
		return a.showOutcome(&publishResult{Ticket: text, Outcome: p.Find(ctx, t)})
	}
	s, err := newSubmission(cmd, p)
	if err != nil {
		return err
	}
	draft, refused := p.Prepare(ctx, s)
	if refused != nil {
		return a.showOutcome(&publishResult{Outcome: refused})
	}
	out := &publishResult{Ticket: draft.Ticket.String(), Difference: draft.Difference, allKeys: cmd.Bool("all")}
	a.progressf("ticket %s, %d changes", out.Ticket, len(out.Difference))
	if cmd.Bool("dry-run") || len(out.Difference) == 0 {
		return a.show(out)
	}
	out.Outcome = p.Submit(ctx, draft)
	return a.showOutcome(out)
}

// newSubmission reads the files named by the operands, and sets the publisher's
// rules from the deployment.
func newSubmission(cmd *urfave.Command, p *publish.Publisher) (publish.Submission, error) {
	s := publish.Submission{Base: id.Version(cmd.Uint64("base"))}
	for _, name := range cmd.StringSlice("remove") {
		var removed id.Service
		if err := removed.UnmarshalText([]byte(name)); err != nil {
			return s, usagef("remove: %s", err)
		}
		s.Remove = append(s.Remove, removed)
	}
	if len(s.Remove) == 0 || cmd.Args().Len() > 0 {
		files, err := collectFiles(cmd)
		if err != nil {
			return s, err
		}
		for _, f := range files {
			s.Files = append(s.Files, *f.Parsed)
		}
	}
	dep, err := readDeployment(cmd.String("deployment"))
	if dep != nil {
		p.Rules = publish.Rules{Region: dep.Region, Entries: len(dep.Entries)}
	}
	return s, err
}

// showOutcome writes the outcome of a submission and returns an error with its
// exit code; nil if the submission was accepted.
func (a *App) showOutcome(p *publishResult) error {
	if err := a.show(p); err != nil {
		return err
	}
	codes := map[result.Code]int{
		result.Overtaken: ExitOvertaken, result.RefusedByCheck: ExitRefused,
		result.StoreUnavailable: ExitUnreachable, result.NotYetKnown: ExitNotYetKnown,
	}
	if p.Outcome.Code == result.Accepted {
		return nil
	}
	code, ok := codes[p.Outcome.Code]
	if !ok {
		code = ExitFailed
	}
	return &exitError{code: code, text: fmt.Sprintf("%s (code %d)", p.Outcome, p.Outcome.Code)}
}

func (a *App) historyCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "history",
		Usage:       "list the published versions, or show the changes of one of them",
		Description: "Examples:\n   shallotpier history --store 10.0.0.1:7000\n   shallotpier history --store 10.0.0.1:7000 --version 7",
		Flags: []urfave.Flag{
			storeFlag(),
			&urfave.Uint64Flag{Name: "version", Usage: "show the changes from the previous version to this `VERSION`"},
			&urfave.DurationFlag{Name: "wait", Value: publishWait, Usage: "maximum `TIME` to wait for the store"},
		},
		Action: a.action(a.history),
	}
}

func (a *App) history(ctx context.Context, cmd *urfave.Command) error {
	p, err := newPublisher(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("wait"))
	defer cancel()
	all, err := p.History(ctx)
	if err != nil {
		return &exitError{code: ExitUnreachable, text: fmt.Sprintf("read the history: %s", err)}
	}
	wanted := id.Version(cmd.Uint64("version"))
	rows := versions{}
	var before *publish.Publication
	for _, v := range all {
		difference := publish.Compare(filesOf(before), v.Files)
		if v.Version == wanted {
			return a.show((*changes)(&difference))
		}
		rows = append(rows, versionRow{Version: v.Version, Author: v.Author, At: v.At, Services: len(v.Files), Changes: len(difference)})
		before = v
	}
	if wanted != 0 {
		return usagef("version %d is not in the history", wanted)
	}
	return a.show(&rows)
}

func (p *publishResult) text(w io.Writer) error {
	difference := p.Difference.Summary()
	if p.allKeys {
		difference = p.Difference.String()
	}
	if _, err := fmt.Fprint(w, difference); err != nil {
		return err
	}
	switch {
	case p.Outcome != nil:
		fmt.Fprintln(w, p.Outcome)
		fmt.Fprint(w, p.Outcome.Difference.String())
	case len(p.Difference) == 0:
		fmt.Fprintln(w, "nothing differs from the active version; nothing was submitted")
	default:
		fmt.Fprintln(w, "dry run; nothing was submitted")
	}
	return nil
}

func (v *versions) text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, "VERSION\tPUBLISHED\tAUTHOR\tSERVICES\tCHANGES")
	for _, row := range *v {
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%d\n", row.Version, row.At.Format(time.RFC3339), row.Author, row.Services, row.Changes)
	}
	return t.Flush()
}

func (c *changes) text(w io.Writer) error {
	_, err := fmt.Fprint(w, publish.Difference(*c).String())
	return err
}

func filesOf(p *publish.Publication) []service.File {
	if p == nil {
		return nil
	}
	return p.Files
}
