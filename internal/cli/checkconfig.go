package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/configcheck"
	"github.com/shallotpier/shallotpier/platform"
)

// configResult contains the mistakes in a configuration and what it changes.
type configResult struct {
	Findings []configcheck.Finding `json:"findings"`
	// Changes is nil if no other configuration was given.
	Changes []configcheck.Change `json:"changes,omitempty"`

	compared bool
}

func (a *App) checkConfigCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "check-config",
		Usage:     "find mistakes in a configuration of the platform before it is sent",
		ArgsUsage: "FILE",
		Description: "Reads the JSON text of the configuration object, reports mistakes, and what differs from the version in force. Keys appear as fingerprints only.\n\n" +
			"Examples:\n   shallotpier check-config main.json\n   shallotpier check-config --against in-force.json --settings settings.toml main.json\n   shallotpier --output json check-config --strict main.json",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "against", Usage: "also compare with the configuration in this `FILE`, the one in force", TakesFile: true},
			&urfave.StringFlag{Name: "settings", Usage: "also validate regions against the zones in an entry's settings `FILE`", TakesFile: true},
			&urfave.BoolFlag{Name: "strict", Usage: "let warnings fail the command, too"},
		},
		Action: a.action(func(_ context.Context, cmd *urfave.Command) error { return a.checkConfig(cmd) }),
	}
}

func (a *App) checkConfig(cmd *urfave.Command) error {
	if cmd.Args().Len() != 1 {
		return usagef("name one file with a configuration")
	}
	file, err := readConfigFile(cmd.Args().First())
	if err != nil {
		return err
	}
	settings := &platform.Settings{}
	if path := cmd.String("settings"); path != "" {
		if settings, err = platform.Load(path); err != nil {
			return usagef("%s", err)
		}
	}
	check := platform.ConfigCheck{Regions: settings.Regions}
	if path := cmd.String("against"); path != "" {
		inForce, err := readConfigFile(path)
		if err != nil {
			return err
		}
		check.InForce = &inForce
	}
	r := &configResult{compared: check.InForce != nil}
	r.Findings, r.Changes = check.Check(file)
	if err := a.show(r); err != nil {
		return err
	}
	return r.refusal(cmd.Bool("strict"))
}

func readConfigFile(path string) (platform.ConfigFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return platform.ConfigFile{}, usagef("configuration: %s", err)
	}
	return platform.ConfigFile{Name: path, Data: data}, nil
}

// refusal returns an error if the configuration has errors, or warnings if these count.
func (r *configResult) refusal(strict bool) error {
	count := map[configcheck.Severity]int{}
	for _, f := range r.Findings {
		count[f.Severity]++
	}
	if count[configcheck.Error] == 0 && (!strict || count[configcheck.Warning] == 0) {
		return nil
	}
	return &exitError{code: ExitRefused, text: fmt.Sprintf("the configuration has %d errors and %d warnings", count[configcheck.Error], count[configcheck.Warning])}
}

func (r *configResult) text(w io.Writer) error {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f.String())
	}
	if len(r.Findings) == 0 {
		fmt.Fprintln(w, "no mistakes found")
	}
	if r.compared {
		fmt.Fprintf(w, "%d changes\n", len(r.Changes))
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, c.String())
	}
	return nil
}
