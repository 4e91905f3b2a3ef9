// Package daemon assembles the components of an entry instance into one
// process.
//
// A [Daemon] has three listeners: for callers, for the other entries, and for
// operators. It holds an immutable view of the active configuration behind an
// atomic pointer, which requests read without a lock; a new configuration or a
// drain notice replaces the view. All decisions are made in other packages;
// this one passes events to them and carries out their decisions.
//
// Graceful shutdown begins with [Daemon.BeginShutdown] or the end of Run's
// context. Run returns nil when the last request has ended. [Daemon.Kill] stops
// the daemon at once and aborts running requests.
//
// # Usage
//
//	d := daemon.Daemon{Settings: s, Log: log}
//	err := d.Run(ctx)
package daemon
