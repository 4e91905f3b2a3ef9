// Package daemon joins the parts of an entry instance into one process.
//
// A [Daemon] has three listeners: for callers, for the other entries, and for
// operators. It holds one immutable view of the world behind an atomic
// pointer, which requests read without a lock; events (a new configuration, a
// heartbeat, a notice) make a new view. Everything that decides is in other
// packages; this one only turns events into their inputs and their decisions
// into effects.
//
// A planned stop begins with [Daemon.Leave] or the end of Run's context. Run
// returns nil when the last request has ended. [Daemon.Kill] ends it at once
// and cuts what runs.
//
// # Usage
//
//	d := daemon.Daemon{Settings: s, Log: log}
//	err := d.Run(ctx)
package daemon
