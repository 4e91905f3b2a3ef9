package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/capacity"
)

// slopesResult contains the measured costs of a node's roles.
type slopesResult struct {
	Results []capacity.Result `json:"results"`
	// Sums contains the totals over all roles; it is empty if only some roles
	// were measured.
	Sums []capacity.Sum `json:"sums,omitempty"`
}

func (s *slopesResult) text(w io.Writer) error {
	capacity.PrintHeader(w)
	for _, r := range s.Results {
		r.Print(w)
	}
	if len(s.Sums) > 0 {
		fmt.Fprintln(w)
		capacity.PrintSums(w, s.Sums)
	}
	return nil
}

func (a *App) benchSlopesCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "slopes",
		Usage:       "measure the cost of each role of a node at several sizes, and extrapolate it to the target size",
		Description: "Examples:\n   shallotpier bench slopes\n   shallotpier --output json bench slopes --role membership",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "role", Usage: "measure only roles whose names contain `TEXT`"},
		},
		Action: a.action(func(ctx context.Context, cmd *urfave.Command) error {
			var out slopesResult
			for _, m := range capacity.Measures() {
				if !strings.Contains(m.Role, cmd.String("role")) {
					continue
				}
				if ctx.Err() != nil {
					return ctx.Err()
				}
				a.progressf("%s: %s", m.Role, m.Quantity)
				r, err := capacity.Run(m)
				if err != nil {
					return err
				}
				out.Results = append(out.Results, r)
			}
			if len(out.Results) == 0 {
				return usagef("no role has a name that contains %q", cmd.String("role"))
			}
			if cmd.String("role") == "" {
				sums, err := capacity.Sums(out.Results)
				if err != nil {
					return err
				}
				out.Sums = sums
			}
			return a.show(&out)
		}),
	}
}
