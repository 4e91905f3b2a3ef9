package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/entryview"
	"github.com/shallotpier/shallotpier/internal/logread"
	"github.com/shallotpier/shallotpier/internal/operator"
	"github.com/shallotpier/shallotpier/internal/organisation"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// entryTimeout bounds a query to an entry on the platform.
	entryTimeout = 5 * time.Second
	percent      = 100
	// limitDigits is the number of significant digits of a limit.
	limitDigits = 3
)

type (
	// platformStatus is the state of several entries and the differences between
	// them.
	platformStatus struct {
		Entries     []*entryview.View `json:"entries"`
		Unreachable []string          `json:"unreachable,omitempty"`
		Differences []string          `json:"differences"`
	}

	platformExplanation entryview.Explanation
)

// platformFlag returns the flag with the addresses of entries on the platform.
func platformFlag() urfave.Flag {
	return &urfave.StringFlag{Name: "platform", Usage: "comma-separated `ADDRESSES` of the metrics listeners of entries on the platform"}
}

// platformOrEntry returns the action of a command that runs platform if the flag
// platform or log is set, and otherwise connects to an entry's operator listener
// and runs act.
func (a *App) platformOrEntry(platform urfave.ActionFunc, act func(context.Context, *urfave.Command, *operator.Client) error) urfave.ActionFunc {
	entry := a.withEntry(act)
	return func(ctx context.Context, cmd *urfave.Command) error {
		if cmd.String("platform") == "" && cmd.String("log") == "" {
			return entry(ctx, cmd)
		}
		return a.action(platform)(ctx, cmd)
	}
}

// platformAddresses returns the addresses in the flag platform.
func platformAddresses(cmd *urfave.Command) ([]string, error) {
	var out []string
	for text := range strings.SplitSeq(cmd.String("platform"), ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, usagef("platform %q: want comma-separated IP addresses with ports, such as 10.1.0.10:9640", text)
		}
		out = append(out, address.String())
	}
	return out, nil
}

func (a *App) platformStatus(ctx context.Context, cmd *urfave.Command) error {
	all, err := platformAddresses(cmd)
	if err != nil {
		return err
	}
	s := &platformStatus{}
	client := &http.Client{Timeout: entryTimeout}
	for _, address := range all {
		v, err := entryview.Fetch(ctx, client, address)
		if err != nil {
			s.Unreachable = append(s.Unreachable, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		s.Entries = append(s.Entries, v)
	}
	if len(s.Entries) > 0 {
		s.Differences = entryview.Differences(s.Entries)
	}
	if err := a.show(s); err != nil {
		return err
	}
	if len(s.Unreachable) > 0 {
		return &exitError{code: ExitUnreachable, text: fmt.Sprintf("%d of %d entries did not answer", len(s.Unreachable), len(all))}
	}
	return nil
}

func (a *App) platformExplain(ctx context.Context, cmd *urfave.Command) error {
	if path := cmd.String("log"); path != "" {
		return a.explainLog(path, cmd.String("request"))
	}
	all, err := platformAddresses(cmd)
	if err != nil {
		return err
	}
	if len(all) != 1 || cmd.String("host") == "" {
		return usagef("want exactly one address in --platform, and the request's host in --host")
	}
	e, err := entryview.Explain(ctx, &http.Client{Timeout: entryTimeout}, all[0], &entryview.Query{
		Host: cmd.String("host"), Path: cmd.String("path"), Object: cmd.String("object"),
		Organisation: id.Organisation(cmd.String("organisation")), Key: organisation.Fingerprint(cmd.String("key")),
	})
	if err != nil {
		return &exitError{code: ExitUnreachable, text: err.Error()}
	}
	return a.show((*platformExplanation)(e))
}

func (a *App) explainLog(path, request string) error {
	if request == "" {
		return usagef("want the request's ID in --request")
	}
	f, err := os.Open(path)
	if err != nil {
		return usagef("log: %s", err)
	}
	defer func() { _ = f.Close() }()
	trace, err := logread.Find(f, request)
	if err != nil {
		return eris.Wrapf(err, "log %q", path)
	}
	return a.show((*requestTrace)(trace))
}

type requestTrace logread.Trace

func (t *requestTrace) text(w io.Writer) error { return (*logread.Trace)(t).WriteText(w) }

func (s *platformStatus) text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, "ENTRY\tZONE\tREADY\tVERSION\tRUNNING\tENTRIES\tSERVERS\tUSABLE\tLIMITED\tERA\tSTORE")
	for _, v := range s.Entries {
		usable, limited, oldest, era := 0, 0, time.Duration(0), store.Era(0)
		for _, server := range v.Servers {
			if server.State == entryview.Usable {
				usable++
			}
			if server.State == entryview.Limited {
				limited++
			}
		}
		for _, k := range v.Store {
			oldest, era = max(oldest, k.Age), max(era, k.Era)
		}
		fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%d\t%d of %d\t%d\t%d\t%d\t%d\t%v ago\n", v.Instance, v.Zone, v.Ready, v.Version, v.Running,
			len(v.Entries), v.Known, len(v.Servers), usable, limited, era, oldest.Round(time.Millisecond))
	}
	s.quotas(t)
	for _, v := range s.Entries {
		for _, p := range v.LeftOut {
			fmt.Fprintf(t, "left out at %s: %s\n", v.Instance, &p)
		}
	}
	for _, v := range s.Entries {
		writeCapacity(t, v)
	}
	for _, line := range s.Unreachable {
		fmt.Fprintf(t, "did not answer: %s\n", line)
	}
	for _, line := range s.Differences {
		fmt.Fprintf(t, "differs: %s\n", line)
	}
	return t.Flush()
}

// quotas writes the organisations whose limit has been reached at an entry.
func (s *platformStatus) quotas(w io.Writer) {
	header := "\nORGANISATION\tLIMITED AT\tSINCE\tLIMIT\tDEMAND HERE\tGRANTED\tREFUSED\tACCOUNTABLE"
	for _, v := range s.Entries {
		for i := range v.Quotas {
			q := &v.Quotas[i]
			if q.LimitedFor == 0 {
				continue
			}
			if header != "" {
				fmt.Fprintln(w, header)
				header = ""
			}
			fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\t%d\t%d\t%s\n", q.Organisation, v.Instance, q.LimitedFor.Round(time.Millisecond),
				limitText(q.Rate), limitText(unit.Rate(q.Demand)), q.Granted, q.Exceeded, strings.Join(s.accountable(q.Organisation), " "))
		}
	}
}

// accountable returns the shown entries that are accountable for an organisation's limit; those
// that grant no tokens yet are marked.
func (s *platformStatus) accountable(organisation id.Organisation) []string {
	var out []string
	for _, v := range s.Entries {
		for i := range v.Quotas {
			if q := &v.Quotas[i]; q.Organisation == organisation && q.Parts > 0 {
				name := string(v.Instance)
				if !v.Granting {
					name += " (not yet)"
				}
				out = append(out, name)
			}
		}
	}
	return out
}

// writeCapacity writes who gets the capacity of the services that refuse requests at an entry.
func writeCapacity(w io.Writer, v *entryview.View) {
	for _, c := range v.Capacity {
		if c.Refused == 0 {
			continue
		}
		fmt.Fprintf(w, "capacity of %s at %s: %.0f%% refused\n", c.Service, v.Instance, percent*c.Refused)
		for _, g := range c.Groups {
			fmt.Fprintf(w, "  priority %d, %s, %s share: %.1f/s, %.0f%% served\n", g.Priority, g.Kind, g.Share, g.Demand, percent*g.Served)
		}
		for _, o := range c.Above {
			fmt.Fprintf(w, "  above its share: %q, %s: %.1f/s, usually %.1f/s\n", o.Organisation, o.Kind, o.Demand, o.Usual)
		}
	}
}

func (e *platformExplanation) text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintf(t, "route %s, service %s: %s %s\n", e.Route, e.Service, e.Reason, e.Server)
	e.writeCaller(t)
	fmt.Fprintf(t, "servers as of change %s, confirmed %v ago in era %d of the store\n", e.Servers.Change, e.Servers.Age.Round(time.Millisecond), e.Servers.Era)
	fmt.Fprintln(t, "\nBACKEND SERVER\tZONE\tSTATE\tSLOTS\tBUSY\tBUSY HERE\tLIMIT\tLIMIT HERE")
	for _, s := range e.Ranking {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.1f\t%d\t%s\t%s\n", s.Name, s.Zone, s.State, s.Slots, s.Busy, s.Own, limitText(s.Limit), limitText(s.LimitShare))
	}
	return t.Flush()
}

// writeCaller writes what the caller's organisation means for the request.
func (e *platformExplanation) writeCaller(w io.Writer) {
	if e.Refused != "" {
		fmt.Fprintf(w, "refused with %s\n", e.Refused)
	}
	if e.Organisation != "" {
		fmt.Fprintf(w, "organisation %s, priority %d\n", e.Organisation, e.Priority)
	}
	if e.Regions != nil {
		fmt.Fprintf(w, "runs in the regions %v only\n", e.Regions)
	}
	for _, p := range e.LeftOut {
		fmt.Fprintf(w, "left out: %s\n", &p)
	}
}

// limitText formats a limit in requests a second, or a dash if there is none.
func limitText(limit unit.Rate) string {
	if limit == 0 {
		return "-"
	}
	return strconv.FormatFloat(float64(limit), 'g', limitDigits, 64) + "/s"
}
