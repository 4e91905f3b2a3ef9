// Package reload takes in a settings file that changes while a process runs, with
// a signal or without.
//
// # Usage
//
//	w := reload.Watch[Settings]{Path: path, Load: Load, Signal: hangup, Log: log}
//	go w.Run(ctx, inForce, func(before, now *Settings) { apply(now) })
package reload

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"
)

// pollTime is how often the file is looked at, small against the seconds within
// which changes must be in force.
const pollTime = 500 * time.Millisecond

// Watch looks at a settings file of type T.
type Watch[T any] struct {
	// Path is the file.
	Path string
	// Load reads and checks it.
	Load func(path string) (*T, error)
	// Signal asks for a look at the file even if it seems unchanged.
	Signal <-chan os.Signal
	// Log gets a line for each file that is rejected.
	Log *slog.Logger
}

// Run calls apply with the settings in force and each new ones that differ from
// them, until ctx ends. A file that is missing or wrong leaves those in force.
func (w *Watch[T]) Run(ctx context.Context, inForce *T, apply func(before, now *T)) {
	tick := time.NewTicker(pollTime)
	defer tick.Stop()
	last := w.changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.Signal:
			w.Log.Info("reload asked for", "path", w.Path)
		case <-tick.C:
			at := w.changed()
			if at.Equal(last) {
				continue
			}
			last = at
		}
		s, err := w.Load(w.Path)
		if err != nil {
			w.Log.Error("changed settings rejected, the old ones stay in force", "err", err)
			continue
		}
		if !reflect.DeepEqual(s, inForce) {
			apply(inForce, s)
			inForce = s
		}
	}
}

// changed returns when the file was changed last, the zero time if it can't be
// told.
func (w *Watch[T]) changed() time.Time {
	info, err := os.Stat(w.Path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
