// Package reload watches a settings file and applies its changes while the process
// runs. Changes are detected by polling the file's modification time; a signal
// triggers a reload at once.
//
// # Usage
//
//	w := reload.Watch[Settings]{Path: path, Load: Load, Signal: hangup, Log: log}
//	go w.Run(ctx, current, func(before, now *Settings) { apply(now) })
package reload

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"
)

// pollInterval is how often the file's modification time is checked. It is short
// compared to the seconds within which changes must be active.
const pollInterval = 500 * time.Millisecond

// Watch watches a file of settings of type T.
type Watch[T any] struct {
	// Path is the path of the file.
	Path string
	// Load reads and validates the file.
	Load func(path string) (*T, error)
	// Signal triggers a reload even if the modification time is unchanged.
	Signal <-chan os.Signal
	// Log receives a line for each reload by signal and each rejected file.
	Log *slog.Logger
}

// Run calls apply with the active and the new settings each time they differ, until
// ctx ends. current holds the active settings at the start. If the file is missing
// or invalid, the active settings are kept.
func (w *Watch[T]) Run(ctx context.Context, current *T, apply func(before, now *T)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	last := w.modTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.Signal:
			w.Log.Info("reload requested", "path", w.Path)
		case <-tick.C:
			modTime := w.modTime()
			if modTime.Equal(last) {
				continue
			}
			last = modTime
		}
		s, err := w.Load(w.Path)
		if err != nil {
			w.Log.Error("changed settings rejected, previous settings remain active", "err", err)
			continue
		}
		if !reflect.DeepEqual(s, current) {
			apply(current, s)
			current = s
		}
	}
}

// modTime returns the file's modification time, the zero time if it can't be read.
func (w *Watch[T]) modTime() time.Time {
	info, err := os.Stat(w.Path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
