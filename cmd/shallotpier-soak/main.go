// Command shallotpier-soak runs real entries under injected faults, one seed after
// another, and exits with status 1 if a guarantee was violated or a run failed.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"time"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	app := &urfave.Command{
		Name:  "shallotpier-soak",
		Usage: "run entries as processes, inject faults and check the guarantees",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "binary", Value: "target/shallotpier-entry", Usage: "`PATH` of the entry's executable"},
			&urfave.Uint64Flag{Name: "seed", Usage: "first `SEED`; 0 for a random one"},
			&urfave.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds to run"},
			&urfave.DurationFlag{Name: "length", Value: 15 * time.Second, Usage: "time during which faults are injected, for each seed"},
			&urfave.BoolFlag{Name: "cold", Usage: "servers become cold again, also while the store is unavailable"},
			&urfave.IntFlag{Name: "entries", Value: 4, Usage: "number of entries"},
			&urfave.IntFlag{Name: "servers", Value: 8, Usage: "number of backend servers"},
			&urfave.IntFlag{Name: "callers", Value: 16, Usage: "number of concurrent callers"},
		},
		Action: run,
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *urfave.Command) error {
	first := cmd.Uint64("seed")
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	violated := 0
	for i := range cmd.Int("seeds") {
		r, err := soak.Run(ctx, soak.Options{
			Binary: cmd.String("binary"), Seed: first + uint64(i), Length: cmd.Duration("length"),
			Cold: cmd.Bool("cold"), Entries: cmd.Int("entries"), Servers: cmd.Int("servers"), Callers: cmd.Int("callers"),
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d of %d requests served, %.3f after the last fault, %d servers crashed by a request, %d with limits, links lost %d times, %d told of leaving, %d rejected keys, %d cold times checked (%d at servers with more load than cold ones take, %d of these not registered), %d violations\n",
			r.Seed, r.Served, r.Requests, r.Recovered, r.Crashes, r.Limited, r.LinkCuts, r.Leaving, r.Rejected, r.Cold, r.ColdBusy, r.ColdBusyUnregistered, len(r.Violations))
		if len(r.Violations) > 0 {
			violated++
			printDetails(r)
		}
	}
	if violated > 0 {
		return fmt.Errorf("%d of %d seeds violated a guarantee", violated, cmd.Int("seeds"))
	}
	return nil
}

func printDetails(r *soak.Report) {
	for _, v := range r.Violations {
		fmt.Println("  BROKEN", v)
	}
	for _, f := range r.Faults {
		fmt.Println("   ", f)
	}
	fmt.Println("  logs:", r.Folder)
}
