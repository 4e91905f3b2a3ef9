package cli

import (
	"context"
	"net/netip"
	"os"
	"strings"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/operator"
)

// entryFlags are the flags of commands that ask an entry.
func entryFlags(more ...urfave.Flag) []urfave.Flag {
	return append([]urfave.Flag{
		&urfave.StringFlag{Name: "entry", Usage: "operators' `ADDRESS` of an entry", Sources: urfave.EnvVars("SHALLOTPIER_ENTRY")},
		&urfave.StringFlag{Name: "token-file", Usage: "`FILE` with the bearer token; without it the token is in SHALLOTPIER_TOKEN", TakesFile: true},
	}, more...)
}

// client returns the client of the entry that the flags name.
func client(cmd *urfave.Command) (*operator.Client, error) {
	if cmd.String("entry") == "" {
		return nil, usagef("flag entry is missing, and SHALLOTPIER_ENTRY is not set")
	}
	address, err := netip.ParseAddrPort(cmd.String("entry"))
	if err != nil {
		return nil, usagef("entry %q: want an address such as 10.0.1.1:7300", cmd.String("entry"))
	}
	token := os.Getenv("SHALLOTPIER_TOKEN")
	if path := cmd.String("token-file"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, usagef("token file: %s", err)
		}
		token = strings.TrimSpace(string(data))
	}
	return operator.NewClient(address, token), nil
}

// asking returns the action of a command that asks an entry.
func (a *App) asking(act func(ctx context.Context, cmd *urfave.Command, c *operator.Client) error) urfave.ActionFunc {
	return a.action(func(ctx context.Context, cmd *urfave.Command) error {
		c, err := client(cmd)
		if err != nil {
			return err
		}
		return act(ctx, cmd, c)
	})
}
