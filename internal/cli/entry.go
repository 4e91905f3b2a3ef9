package cli

import (
	"context"
	"net/netip"
	"os"
	"strings"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/operator"
)

// entryFlags returns the flags of commands that connect to an entry, and more.
func entryFlags(more ...urfave.Flag) []urfave.Flag {
	return append([]urfave.Flag{
		&urfave.StringFlag{Name: "entry", Usage: "`ADDRESS` of an entry's operator listener", Sources: urfave.EnvVars("SHALLOTPIER_ENTRY")},
		&urfave.StringFlag{Name: "token-file", Usage: "`FILE` that contains the bearer token; without it the token is taken from SHALLOTPIER_TOKEN", TakesFile: true},
	}, more...)
}

// newClient returns a client for the entry given by the flags.
func newClient(cmd *urfave.Command) (*operator.Client, error) {
	if cmd.String("entry") == "" {
		return nil, usagef("the entry's address is missing: set --entry or SHALLOTPIER_ENTRY")
	}
	address, err := netip.ParseAddrPort(cmd.String("entry"))
	if err != nil {
		return nil, usagef("entry %q: want an IP address and port, such as 10.0.1.1:7300", cmd.String("entry"))
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

// withEntry returns the action of a command that connects to an entry.
func (a *App) withEntry(act func(ctx context.Context, cmd *urfave.Command, c *operator.Client) error) urfave.ActionFunc {
	return a.action(func(ctx context.Context, cmd *urfave.Command) error {
		c, err := newClient(cmd)
		if err != nil {
			return err
		}
		return act(ctx, cmd, c)
	})
}
