package cli

import (
	"context"
	"io"
	"maps"
	"slices"
	"strings"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/model"
)

// maxPolicySeeds is the maximum number of seeds of a comparison, which run
// concurrently.
const maxPolicySeeds = 20

type comparisons []*model.Comparison

func (c comparisons) text(w io.Writer) error {
	for _, one := range c {
		if err := one.WriteText(w); err != nil {
			return err
		}
	}
	return nil
}

func (a *App) benchPoliciesCommand() *urfave.Command {
	names := strings.Join(slices.Sorted(maps.Keys(model.Policies())), ", ")
	return &urfave.Command{
		Name:        "policies",
		Usage:       "compare two server selection policies in a simulation with the same arrivals",
		Description: "Policies: " + names + ".\n\nExamples:\n   shallotpier bench policies\n   shallotpier bench policies --against spill --pattern 'third of the servers' --plot credit.svg",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "policy", Value: "owners", Usage: "`POLICY` to compare"},
			&urfave.StringFlag{Name: "against", Value: "untimed", Usage: "`POLICY` to compare with"},
			&urfave.StringFlag{Name: "pattern", Usage: "run only load patterns whose names contain `TEXT`"},
			&urfave.StringFlag{Name: "seeds", Value: "0,1", Usage: "comma-separated `SEEDS` of the arrivals"},
			&urfave.StringFlag{Name: "plot", Usage: "write a plot of the credit over time, for the first seed, to this svg, png or pdf `FILE`; needs exactly one pattern"},
		},
		Action: a.action(a.benchPolicies),
	}
}

func (a *App) benchPolicies(_ context.Context, cmd *urfave.Command) error {
	seeds, err := parseSeeds(cmd.String("seeds"))
	if err != nil {
		return err
	}
	if len(seeds) > maxPolicySeeds {
		return usagef("seeds: got %d, want at most %d", len(seeds), maxPolicySeeds)
	}
	names := [2]string{cmd.String("policy"), cmd.String("against")}
	for _, name := range names {
		if model.Policies()[name] == nil {
			return usagef("policy %q is not known; the command's --help lists the policies", name)
		}
	}
	patterns := slices.DeleteFunc(model.Patterns(), func(p model.Pattern) bool { return !strings.Contains(p.Name, cmd.String("pattern")) })
	plot := cmd.String("plot")
	switch {
	case len(patterns) == 0:
		return usagef("no load pattern has a name that contains %q", cmd.String("pattern"))
	case plot != "" && len(patterns) > 1:
		return usagef("%d load patterns match; --plot needs exactly one", len(patterns))
	}
	var all comparisons
	for i := range patterns {
		c, err := model.Compare(&patterns[i], names, seeds)
		if err != nil {
			return err
		}
		all = append(all, c)
		a.progressf("pattern %d of %d", i+1, len(patterns))
	}
	if plot != "" {
		if err := all[0].Plot(plot); err != nil {
			return err
		}
	}
	return a.show(all)
}
