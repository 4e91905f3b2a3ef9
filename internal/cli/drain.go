package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/operator"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	pollInterval = 500 * time.Millisecond
	defaultWait  = time.Hour
)

type (
	progress    operator.Progress
	quarantines []operator.Quarantined
)

func (a *App) drainCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "drain",
		Usage:       "stop sending new work to a backend server or an instance, and wait until its running requests have ended",
		ArgsUsage:   "SERVICE/SERVER|INSTANCE",
		Description: "The drain continues if the wait is interrupted or times out.\n\nExamples:\n   shallotpier drain registry/registry-7\n   shallotpier drain --wait 0s evidence/evidence-2\n   shallotpier drain entry-3",
		Flags: entryFlags(
			&urfave.DurationFlag{Name: "wait", Value: defaultWait, Usage: "maximum `TIME` to wait; 0s returns at once"},
		),
		Action: a.withEntry(func(ctx context.Context, cmd *urfave.Command, c *operator.Client) error {
			t, err := parseTarget(cmd)
			if err != nil {
				return err
			}
			p, err := c.Drain(ctx, t)
			if err != nil {
				return err
			}
			if wait := cmd.Duration("wait"); wait > 0 {
				if p, err = a.wait(ctx, c, p, wait); err != nil {
					return err
				}
			}
			return a.show((*progress)(&p))
		}),
	}
}

// wait polls the progress until the drain is complete, or wait has elapsed.
func (a *App) wait(ctx context.Context, c *operator.Client, p operator.Progress, wait time.Duration) (operator.Progress, error) {
	t := p.Target
	end := time.NewTimer(wait)
	defer end.Stop()
	last := ""
	for !p.Done {
		if line := formatProgress(p); line != last {
			a.progressf("%s", line)
			last = line
		}
		select {
		case <-ctx.Done():
			return p, operator.Errorf(result.WaitEnded, "the wait was interrupted; the drain continues")
		case <-end.C:
			return p, operator.Errorf(result.WaitEnded, "%s still runs %d requests after %s; the drain continues", t.String(), p.Running, wait)
		case <-time.After(pollInterval):
		}
		next, err := c.Progress(ctx, t)
		if err != nil && ctx.Err() == nil {
			return p, err
		}
		if err == nil {
			p = next
		}
	}
	return p, nil
}

func (a *App) undrainCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "undrain",
		Usage:       "end a drain: send new work to a backend server or an instance again",
		ArgsUsage:   "SERVICE/SERVER|INSTANCE",
		Description: "Examples:\n   shallotpier undrain registry/registry-7\n   shallotpier undrain entry-3",
		Flags:       entryFlags(),
		Action: a.withEntry(func(ctx context.Context, cmd *urfave.Command, c *operator.Client) error {
			t, err := parseTarget(cmd)
			if err != nil {
				return err
			}
			p, err := c.Undrain(ctx, t)
			if err != nil {
				return err
			}
			return a.show((*progress)(&p))
		}),
	}
}

func (a *App) quarantineCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "quarantine",
		Usage:       "list the quarantines of requests that crashed backend servers, or lift one",
		ArgsUsage:   "[ID]",
		Description: "Examples:\n   shallotpier quarantine\n   shallotpier quarantine --lift 9f3c61",
		Flags:       entryFlags(&urfave.StringFlag{Name: "lift", Usage: "lift the quarantine with this `ID`"}),
		Action: a.withEntry(func(ctx context.Context, cmd *urfave.Command, c *operator.Client) error {
			if id := cmd.String("lift"); id != "" {
				if err := c.Lift(ctx, id); err != nil {
					return err
				}
			}
			q, err := c.Quarantined(ctx)
			if err != nil {
				return err
			}
			return a.show((*quarantines)(&q))
		}),
	}
}

// parseTarget parses the operand, which is SERVICE/SERVER for a backend server and
// a name without a slash for an instance.
func parseTarget(cmd *urfave.Command) (operator.Target, error) {
	var t operator.Target
	if cmd.Args().Len() != 1 {
		return t, usagef("want one operand: a backend server as SERVICE/SERVER, or an instance")
	}
	operand := cmd.Args().First()
	service, server, isServer := strings.Cut(operand, "/")
	var err error
	if isServer {
		t.Service, t.Server = id.Service(service), id.Server(server)
		if err = t.Service.UnmarshalText([]byte(service)); err == nil {
			err = t.Server.UnmarshalText([]byte(server))
		}
	} else {
		err = t.Instance.UnmarshalText([]byte(operand))
	}
	if err != nil {
		return t, usagef("target %q: %s", operand, err)
	}
	return t, nil
}

func formatProgress(p operator.Progress) string {
	switch {
	case !p.Draining:
		return fmt.Sprintf("%s takes new work", p.Target.String())
	case p.Done:
		return fmt.Sprintf("%s is drained after %s", p.Target.String(), p.Since)
	default:
		return strings.TrimSpace(fmt.Sprintf("%s is draining, %d requests running %s", p.Target.String(), p.Running, p.Text))
	}
}

func (p *progress) text(w io.Writer) error {
	_, err := fmt.Fprintln(w, formatProgress(operator.Progress(*p)))
	return err
}

func (q *quarantines) text(w io.Writer) error {
	if len(*q) == 0 {
		fmt.Fprintln(w, "nothing is quarantined")
	}
	for _, e := range *q {
		fmt.Fprintf(w, "%s service %s, class %s: crashed %d backend servers, ends in %s\n", e.ID, e.Service, e.Class, e.Crashes, e.Left)
	}
	return nil
}
