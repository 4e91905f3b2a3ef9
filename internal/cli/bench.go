package cli

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/bench"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	benchRate     = 200
	benchDuration = 5 * time.Second
	benchWarmup   = time.Second
)

type benchReport bench.Report

func (r *benchReport) text(w io.Writer) error { return (*bench.Report)(r).WriteText(w) }

func (a *App) benchCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "bench",
		Usage:       "run benchmarks of lookups, requests, the roles of a node and server selection policies",
		Description: "Examples:\n   shallotpier bench lookup --target 127.0.0.1:21001 --service registry\n   shallotpier bench request --url http://127.0.0.1:21001/s/registry/findings/4 --against http://127.0.0.1:21101/findings/4",
		Commands:    []*urfave.Command{a.benchLookupCommand(), a.benchRequestCommand(), a.benchSlopesCommand(), a.benchPoliciesCommand()},
	}
}

func (a *App) benchLookupCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "lookup",
		Usage:       "measure the latency of lookups at an entry, open loop",
		Description: "Examples:\n   shallotpier bench lookup --target 127.0.0.1:21001 --service registry --rate 2000\n   shallotpier bench lookup --target 127.0.0.1:21001 --against 127.0.0.1:23001 --service registry",
		Flags: benchFlags(
			&urfave.StringFlag{Name: "target", Required: true, Usage: "`ADDRESS` of an entry's listener for callers"},
			&urfave.StringFlag{Name: "against", Usage: "`ADDRESS` of another entry's listener for callers, to compare with"},
			&urfave.StringFlag{Name: "service", Required: true, Usage: "`SERVICE` to look up"},
		),
		Action: a.action(func(ctx context.Context, cmd *urfave.Command) error {
			var targets []string
			for _, address := range []string{cmd.String("target"), cmd.String("against")} {
				if address != "" {
					targets = append(targets, "http://"+address+"/v1/lookup/"+cmd.String("service"))
				}
			}
			return a.bench(ctx, cmd, targets)
		}),
	}
}

func (a *App) benchRequestCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "request",
		Usage:       "measure the latency of GET requests to a URL, open loop, for example through an entry compared with directly to a backend server",
		Description: "Examples:\n   shallotpier bench request --url http://127.0.0.1:21001/s/registry/findings/4 --seeds 1,2,3\n   shallotpier bench request --url http://127.0.0.1:21001/s/registry/findings/4 --against http://127.0.0.1:21101/findings/4",
		Flags: benchFlags(
			&urfave.StringFlag{Name: "url", Required: true, Usage: "`URL` to send GET requests to"},
			&urfave.StringFlag{Name: "against", Usage: "`URL` to compare with"},
		),
		Action: a.action(func(ctx context.Context, cmd *urfave.Command) error {
			targets := []string{cmd.String("url")}
			if against := cmd.String("against"); against != "" {
				targets = append(targets, against)
			}
			return a.bench(ctx, cmd, targets)
		}),
	}
}

func benchFlags(more ...urfave.Flag) []urfave.Flag {
	return append(more,
		&urfave.FloatFlag{Name: "rate", Value: benchRate, Usage: "mean number of `REQUESTS` per second"},
		&urfave.DurationFlag{Name: "duration", Value: benchDuration, Usage: "`TIME` for which load is generated, for each seed"},
		&urfave.DurationFlag{Name: "warmup", Value: benchWarmup, Usage: "initial `TIME` of the load that is not recorded"},
		&urfave.StringFlag{Name: "seeds", Value: "1,2,3", Usage: "comma-separated `SEEDS` of the arrival schedules"},
		&urfave.StringFlag{Name: "plot", Usage: "write a plot of the percentiles to this svg, png or pdf `FILE`"},
	)
}

func (a *App) bench(ctx context.Context, cmd *urfave.Command, targets []string) error {
	seeds, err := parseSeeds(cmd.String("seeds"))
	if err != nil {
		return err
	}
	b := bench.Bench{
		Targets: targets, Rate: unit.Rate(cmd.Float("rate")), Duration: cmd.Duration("duration"),
		Warmup: cmd.Duration("warmup"), Seeds: seeds,
		Progress: func(seed uint64, done, all int) { a.progressf("seed %d, %d of %d", seed, done, all) },
	}
	if err := b.Check(); err != nil {
		return usagef("%s", err)
	}
	r, err := b.Run(ctx)
	if err != nil {
		return err
	}
	if path := cmd.String("plot"); path != "" {
		if err := r.Plot(path); err != nil {
			return err
		}
	}
	if err := a.show((*benchReport)(r)); err != nil {
		return err
	}
	if r.Failed() {
		return &exitError{code: ExitFailed, text: "some requests failed"}
	}
	return nil
}

func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for part := range strings.SplitSeq(text, ",") {
		seed, err := strconv.ParseUint(strings.TrimSpace(part), 10, 64)
		if err != nil {
			return nil, usagef("seeds %q: want comma-separated whole numbers, such as 1,2,3", text)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}
