package scenarios_test

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/shallotpier/shallotpier/internal/cli"
	"github.com/shallotpier/shallotpier/internal/daemon"
	"github.com/shallotpier/shallotpier/internal/launch"
	"github.com/shallotpier/shallotpier/internal/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"shallotpier": func() {
			app := cli.App{Stdout: os.Stdout, Stderr: os.Stderr}
			os.Exit(app.Run(context.Background(), os.Args))
		},
		"shallotpierd": func() {
			d := launch.Daemon{Stderr: os.Stderr, Run: func(ctx context.Context, s *settings.Settings, log *slog.Logger) error {
				return (&daemon.Daemon{Settings: s, Log: log}).Run(ctx)
			}}
			os.Exit(d.Main(os.Args))
		},
		"upload": upload,
		"shallotpier-standin": func() {
			s := launch.StandIn{Stderr: os.Stderr}
			os.Exit(s.Main(os.Args))
		},
	})
}

func TestScenarios(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Files:               scripts(t),
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			e.Setenv("SHALLOTPIER_TOKEN", "example-write")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"exitcode": exitCode, "deploy": deploy, "until": until, "signal": signal, "get": get, "send": send,
			"ticket": ticket, "faults": faults, "sum": sum, "silence": silence, "running": running, "end": end,
		},
	})
}

// scripts returns the scenario files, without those listed in KNOWN-RED.txt unless
// SHALLOTPIER_RED is set.
func scripts(t *testing.T) []string {
	all, err := filepath.Glob("*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	red, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	var run []string
	for _, path := range all {
		name := strings.TrimSuffix(path, ".txtar")
		if os.Getenv("SHALLOTPIER_RED") == "" && strings.Contains(string(red), "\nscenario: "+name+" |") {
			t.Logf("known red: scenario: %s", name)
			continue
		}
		run = append(run, path)
	}
	return run
}
