package reload_test

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/reload"
)

// settings are the text of a file; load rejects the text "invalid".
type settings struct{ text string }

func load(path string) (*settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if string(data) == "invalid" {
		return nil, errors.New("invalid settings")
	}
	return &settings{string(data)}, nil
}

func TestSettingsAreReloaded(t *testing.T) {
	write := func(text string) func(string) error {
		return func(path string) error { return os.WriteFile(path, []byte(text), 0o600) }
	}
	tests := map[string]struct {
		change func(path string) error
		signal bool
		want   string // settings that are applied, empty if none
	}{
		"changed without a signal": {write("new"), false, "new"},
		"changed with a signal":    {write("new"), true, "new"},
		"unchanged with a signal":  {func(string) error { return nil }, true, ""},
		"invalid":                  {write("invalid"), true, ""},
		"removed":                  {os.Remove, true, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings")
			is.NoErr(write("old")(path))
			signal := make(chan os.Signal, 1)
			applied := make(chan string, 2)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			w := reload.Watch[settings]{Path: path, Load: load, Signal: signal, Log: slog.New(slog.DiscardHandler)}
			go w.Run(ctx, &settings{"old"}, func(_, now *settings) { applied <- now.text })
			time.Sleep(50 * time.Millisecond)
			is.NoErr(tt.change(path))
			if tt.signal {
				signal <- os.Interrupt
			}
			select {
			case got := <-applied:
				is.Equal(got, tt.want)
			case <-time.After(1200 * time.Millisecond):
				is.Equal(tt.want, "") // nothing was applied
			}
		})
	}
}
