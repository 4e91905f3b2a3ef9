package launch_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/launch"
	"github.com/shallotpier/shallotpier/internal/settings"
)

const entry = "../../examples/beridze/settings/entry-1.toml"

func TestMainExitCodes(t *testing.T) {
	tests := map[string]struct {
		args   []string
		run    error
		code   int
		stderr string
	}{
		"complete run":    {args: []string{"-settings", entry}, code: 0, stderr: "entry stopped"},
		"failed run":      {args: []string{"-settings", entry}, run: errors.New("address taken"), code: 1, stderr: "address taken"},
		"check":           {args: []string{"-check", "-settings", entry}, run: errors.New("must not run"), code: 0},
		"help":            {args: []string{"-help"}, code: 0, stderr: "settings"},
		"no settings":     {code: 2, stderr: "settings"},
		"unknown flag":    {args: []string{"-loud"}, code: 2, stderr: "loud"},
		"no such file":    {args: []string{"-settings", "nowhere.toml"}, code: 2, stderr: "(code 4004)"},
		"deployment file": {args: []string{"-settings", "../../examples/beridze/deployment.toml"}, code: 2, stderr: "deployment.toml:1: name: the key is not known (code 4000)"},
		"extra operand":   {args: []string{"-settings", entry, "x"}, code: 2, stderr: "settings"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var stderr bytes.Buffer
			d := launch.Daemon{Stderr: &stderr, Run: func(context.Context, *settings.Settings, *slog.Logger) error { return tt.run }}
			is.Equal(d.Main(append([]string{"shallotpierd"}, tt.args...)), tt.code)
			is.True(strings.Contains(stderr.String(), tt.stderr))
		})
	}
}

func TestFirstSignalDrainsSecondForcesExit(t *testing.T) {
	tests := map[string]struct {
		drains bool
		code   int
	}{
		"drain ends":    {drains: true, code: 0},
		"second signal": {code: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var stderr bytes.Buffer
			d := launch.Daemon{Stderr: &stderr, Run: func(ctx context.Context, _ *settings.Settings, _ *slog.Logger) error {
				is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
				<-ctx.Done()
				if tt.drains {
					return nil
				}
				is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
				select {} // a request that does not end
			}}
			is.Equal(d.Main([]string{"shallotpierd", "-settings", entry}), tt.code)
			is.True(strings.Contains(stderr.String(), "signal received"))
		})
	}
}
