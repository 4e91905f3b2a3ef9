package cli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/operator"
)

const tabPadding = 2

type (
	status      operator.Status
	explanation operator.Explanation
)

func (a *App) statusCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "status",
		Usage:       "show what an entry knows: instances, regions, links, services, versions, ages",
		Description: "Examples:\n   shallotpier status --entry 10.0.1.1:7300 --token-file token\n   shallotpier --output json status | jq .services\n   shallotpier status --platform 10.1.0.10:9640,10.2.0.40:9640",
		Flags:       entryFlags(platformFlag()),
		Action: a.platformOr(a.platformStatus, func(ctx context.Context, _ *urfave.Command, c *operator.Client) error {
			s, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return a.show((*status)(&s))
		}),
	}
}

func (a *App) explainCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "explain",
		Usage:       "say why a caller's request goes where it goes, now",
		ArgsUsage:   "SERVICE",
		Description: "Examples:\n   shallotpier explain --caller 192.0.2.7 registry\n   shallotpier explain --caller 192.0.2.7 --method POST --path /certificates registry\n   shallotpier explain --platform 10.1.0.10:9640 --host registry.example --path /findings/8 --object 17\n   shallotpier explain --log entry.log --request 9c41d07be2a35f68",
		Flags: entryFlags(
			platformFlag(),
			&urfave.StringFlag{Name: "host", Usage: "the request's `HOST`, on the platform"},
			&urfave.StringFlag{Name: "object", Usage: "the `OBJECT` that the request concerns, on the platform"},
			&urfave.StringFlag{Name: "log", Usage: "look for a request in an entry's log `FILE` instead", TakesFile: true},
			&urfave.StringFlag{Name: "request", Usage: "the request's `ID` there"},
			&urfave.StringFlag{Name: "caller", Usage: "the caller's IP `ADDRESS`"},
			&urfave.StringFlag{Name: "method", Value: "GET", Usage: "the request's `METHOD`"},
			&urfave.StringFlag{Name: "path", Value: "/", Usage: "the request's `PATH` after the service's own prefix"},
		),
		Action: a.platformOr(a.platformExplain, func(ctx context.Context, cmd *urfave.Command, c *operator.Client) error {
			q, err := query(cmd)
			if err != nil {
				return err
			}
			e, err := c.Explain(ctx, q)
			if err != nil {
				return err
			}
			return a.show((*explanation)(&e))
		}),
	}
}

func query(cmd *urfave.Command) (operator.Query, error) {
	q := operator.Query{Method: cmd.String("method"), Path: cmd.String("path")}
	if cmd.Args().Len() != 1 {
		return q, usagef("name one service")
	}
	if err := q.Service.UnmarshalText([]byte(cmd.Args().First())); err != nil {
		return q, usagef("service: %s", err)
	}
	var err error
	if q.Caller, err = netip.ParseAddr(cmd.String("caller")); err != nil {
		return q, usagef("caller: %s", err)
	}
	return q, nil
}

func (s *status) text(w io.Writer) error {
	state := "ready"
	switch {
	case s.Leaving:
		state = "leaving"
	case !s.Ready:
		state = "not ready: " + s.NotReady
	}
	fmt.Fprintf(w, "%s in %s, %s: %s, version %d, store %s\n", s.Instance, s.Zone, s.Region, state, s.Version, seen(s.Store))
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, "\nINSTANCE\tZONE\tSTATE\tVERSION\tHEARTBEAT")
	for _, i := range s.Instances {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", i.Name, i.Zone, i.State, i.Version, seen(i.Seen))
	}
	fmt.Fprintln(t, "\nLINK\tBUDGET Mbit/s\tUSED Mbit/s\tMEASURED")
	for _, l := range s.Links {
		fmt.Fprintf(t, "%s to %s\t%.1f\t%.1f\t%s\n", l.From, l.To, float64(l.Budget)/1e6, float64(l.Used)/1e6, seen(l.Seen))
	}
	fmt.Fprintln(t, "\nSERVICE\tREGION\tSLOTS\tUSED\tHEADROOM")
	for _, v := range s.Services {
		for _, r := range v.Regions {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\n", v.Name, r.Region, r.Slots, r.Used, headroom(r))
		}
	}
	fmt.Fprintln(t, "\nBACKEND SERVER\tZONE\tSTATE\tSLOTS\tUSED HERE\tHOME\tLOAD REPORT")
	for _, v := range s.Services {
		for _, b := range v.Servers {
			fmt.Fprintf(t, "%s/%s\t%s\t%s\t%d\t%d\t%s\t%s\n", v.Name, b.Name, b.Zone, b.State, b.Slots, b.Used, b.Home, seen(b.Seen))
		}
	}
	return t.Flush()
}

func (e *explanation) text(w io.Writer) error {
	fmt.Fprintf(w, "service %s, class %s, version %d\n", e.Service, e.Class, e.Version)
	if e.Code != 0 {
		info, _ := e.Code.Info()
		fmt.Fprintf(w, "refused now with code %d, %s: %s\n", e.Code, info.Name, info.Meaning)
	}
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, "\nENTRY\tZONE\tWEIGHT\tWHY")
	choices(t, e.Entries)
	fmt.Fprintln(t, "\nBACKEND SERVER\tZONE\tWEIGHT\tWHY")
	choices(t, e.Servers)
	return t.Flush()
}

func choices(w io.Writer, all []operator.Choice) {
	for _, c := range all {
		fmt.Fprintf(w, "%s\t%s\t%g\t%s\n", c.Name, c.Zone, c.Weight, c.Why)
	}
}

func headroom(h operator.Headroom) string {
	if h.Slots == 0 {
		return "none"
	}
	return fmt.Sprintf("%.0f%%", 100*float64(h.Slots-h.Used)/float64(h.Slots))
}

func seen(s operator.Seen) string {
	if s.State == "missing" || s.State == "" {
		return "never"
	}
	return fmt.Sprintf("%s ago (%s)", s.Age, s.State)
}
