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
		Usage:       "show the state of an entry: instances, links, services, backend servers, versions and ages",
		Description: "Examples:\n   shallotpier status --entry 10.0.1.1:7300 --token-file token\n   shallotpier --output json status | jq .services\n   shallotpier status --platform 10.1.0.10:9640,10.2.0.40:9640",
		Flags:       entryFlags(platformFlag()),
		Action: a.platformOrEntry(a.platformStatus, func(ctx context.Context, _ *urfave.Command, c *operator.Client) error {
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
		Usage:       "show which entries and backend server a caller's request would be routed to now, and why",
		ArgsUsage:   "SERVICE",
		Description: "Examples:\n   shallotpier explain --caller 192.0.2.7 registry\n   shallotpier explain --caller 192.0.2.7 --method POST --path /certificates registry\n   shallotpier explain --platform 10.1.0.10:9640 --host registry.example --path /findings/8 --object 17 --organisation customs\n   shallotpier explain --log entry.log --request 9c41d07be2a35f68",
		Flags: entryFlags(
			platformFlag(),
			&urfave.StringFlag{Name: "host", Usage: "`HOST` of the request; needs --platform"},
			&urfave.StringFlag{Name: "object", Usage: "`OBJECT` of the request; needs --platform"},
			&urfave.StringFlag{Name: "organisation", Usage: "`NAME` of the caller's organisation; needs --platform"},
			&urfave.StringFlag{Name: "key", Usage: "`FINGERPRINT` of the caller's key, from a log line; needs --platform"},
			&urfave.StringFlag{Name: "log", Usage: "show how a past request was handled, from an entry's log `FILE`", TakesFile: true},
			&urfave.StringFlag{Name: "request", Usage: "`ID` of the request; needs --log"},
			&urfave.StringFlag{Name: "caller", Usage: "IP `ADDRESS` of the caller"},
			&urfave.StringFlag{Name: "method", Value: "GET", Usage: "HTTP `METHOD` of the request"},
			&urfave.StringFlag{Name: "path", Value: "/", Usage: "`PATH` of the request, without the service's own prefix"},
		),
		Action: a.platformOrEntry(a.platformExplain, func(ctx context.Context, cmd *urfave.Command, c *operator.Client) error {
			q, err := parseQuery(cmd)
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

func parseQuery(cmd *urfave.Command) (operator.Query, error) {
	q := operator.Query{Method: cmd.String("method"), Path: cmd.String("path")}
	if cmd.Args().Len() != 1 {
		return q, usagef("want one operand: the service")
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
	fmt.Fprintf(w, "%s in %s, %s: %s, version %d, store %s\n", s.Instance, s.Zone, s.Region, state, s.Version, formatSeen(s.Store))
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, "\nINSTANCE\tZONE\tSTATE\tVERSION\tHEARTBEAT")
	for _, i := range s.Instances {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", i.Name, i.Zone, i.State, i.Version, formatSeen(i.Seen))
	}
	fmt.Fprintln(t, "\nLINK\tBUDGET Mbit/s\tUSED Mbit/s\tMEASURED")
	for _, l := range s.Links {
		fmt.Fprintf(t, "%s to %s\t%.1f\t%.1f\t%s\n", l.From, l.To, float64(l.Budget)/1e6, float64(l.Used)/1e6, formatSeen(l.Seen))
	}
	fmt.Fprintln(t, "\nSERVICE\tREGION\tSLOTS\tUSED\tHEADROOM")
	for _, v := range s.Services {
		for _, r := range v.Regions {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\n", v.Name, r.Region, r.Slots, r.Used, formatHeadroom(r))
		}
	}
	fmt.Fprintln(t, "\nBACKEND SERVER\tZONE\tSTATE\tSLOTS\tUSED HERE\tHOME\tLOAD REPORT")
	for _, v := range s.Services {
		for _, b := range v.Servers {
			fmt.Fprintf(t, "%s/%s\t%s\t%s\t%d\t%d\t%s\t%s\n", v.Name, b.Name, b.Zone, b.State, b.Slots, b.Used, b.Home, formatSeen(b.Seen))
		}
	}
	return t.Flush()
}

func (e *explanation) text(w io.Writer) error {
	fmt.Fprintf(w, "service %s, class %s, version %d\n", e.Service, e.Class, e.Version)
	if e.Code != 0 {
		info, _ := e.Code.Info()
		fmt.Fprintf(w, "a request would be refused now with code %d, %s: %s\n", e.Code, info.Name, info.Meaning)
	}
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, "\nENTRY\tZONE\tWEIGHT\tWHY")
	writeChoices(t, e.Entries)
	fmt.Fprintln(t, "\nBACKEND SERVER\tZONE\tWEIGHT\tWHY")
	writeChoices(t, e.Servers)
	return t.Flush()
}

func writeChoices(w io.Writer, all []operator.Choice) {
	for _, c := range all {
		fmt.Fprintf(w, "%s\t%s\t%g\t%s\n", c.Name, c.Zone, c.Weight, c.Why)
	}
}

func formatHeadroom(h operator.Headroom) string {
	if h.Slots == 0 {
		return "none"
	}
	return fmt.Sprintf("%.0f%%", 100*float64(h.Slots-h.Used)/float64(h.Slots))
}

func formatSeen(s operator.Freshness) string {
	if s.State == "missing" || s.State == "" {
		return "never"
	}
	return fmt.Sprintf("%s ago (%s)", s.Age, s.State)
}
