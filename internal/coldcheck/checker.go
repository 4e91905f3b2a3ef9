// Package coldcheck asks backend servers whether they are cold while no entry hears from the
// store.
//
// A server may become cold at any moment, after which it takes few requests from all entries
// together. Its registration says so, but can't be read while the store is unavailable. Its
// health checks say so too. Each server is checked by a few entries several times a second. All
// entries are notified at once of what they find, since each of them sends to the server.
//
// # Usage
//
//	c := &coldcheck.Checker{Interval: interval, Check: check, Apply: apply, Notify: notify, MaxMessage: size, Log: log, Metrics: set}
//	c.Step(ctx, targets)  // several times a second
//	c.Receive(message)    // of another entry
package coldcheck

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// maxRunning is the maximum number of checks at the same time. Where there are more
	// servers to check, the others wait.
	maxRunning = 64
	// gatherTime is how long a finding waits for others to be sent with it: servers of a zone
	// become cold together.
	gatherTime = 10 * time.Millisecond
	// repeats is how often a finding is sent, since datagrams may be lost, and repeatTime the
	// time between two of them.
	repeats    = 3
	repeatTime = 100 * time.Millisecond
	// renewTime is the time between two messages with all findings that have not ended, for
	// entries that have started or learnt of a server since.
	renewTime = 500 * time.Millisecond
	// maxLeft is the longest slow start in a finding of another entry.
	maxLeft = 24 * time.Hour
)

type (
	// Target is a server to check.
	Target struct {
		// Server is the server's name.
		Server id.Server
		// StartedAt is the Unix time of its start in milliseconds, 0 if unknown.
		StartedAt int64
		// Address is its IP address and port.
		Address string
		// Path is the path of its health check.
		Path string
	}

	// Finding says that a server is cold.
	Finding struct {
		// Server is the server's name.
		Server id.Server `cbor:"1,keyasint"`
		// StartedAt is the Unix time of its start in milliseconds, 0 if unknown.
		StartedAt int64 `cbor:"2,keyasint,omitempty"`
		// Left is for how much longer the server is cold.
		Left time.Duration `cbor:"3,keyasint"`
	}

	// Checker checks servers. Its exported fields must be set before its first use and must
	// not change after it. It is safe for concurrent use.
	Checker struct {
		// Interval is the time between two checks of a server.
		Interval time.Duration
		// Check makes one check and returns for how much longer the server is cold, 0 if it is
		// not.
		Check func(ctx context.Context, t Target) (time.Duration, error)
		// Apply records a finding of this entry or another. It reports whether the finding was
		// new.
		Apply func(now time.Time, f Finding) bool
		// Notify sends a message to all other entries, which pass it to Receive.
		Notify func(message []byte)
		// MaxMessage is the length of the longest message with several findings in bytes.
		MaxMessage int
		// Log receives a line for each message that can't be read.
		Log *slog.Logger
		// Metrics receives the counters.
		Metrics *metrics.Set

		mu    sync.Mutex
		loops map[id.Server]*loop
		// free has one element for each running check; nil before the first.
		free  chan struct{}
		found []Finding // that the others have not been notified of
		// cold holds the findings of this entry's checks until they end, and renewed is the time
		// at which the others were last notified of all of them.
		cold    map[id.Server]coldUntil
		renewed time.Time
	}

	// coldUntil is a finding with the end of the slow start.
	coldUntil struct {
		finding Finding
		end     time.Time
	}

	// loop checks one server again and again.
	loop struct {
		target Target
		cancel context.CancelFunc
	}
)

// Step sets the servers to check, and is called several times a second. Checks of servers that are
// not among them end. The first check of a server comes at a random time within the interval, so
// that entries that share a server don't check it in step.
func (c *Checker) Step(ctx context.Context, targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renew(time.Now())
	if len(targets) == 0 && len(c.loops) == 0 {
		return
	}
	if c.free == nil {
		c.free = make(chan struct{}, maxRunning)
	}
	loops := make(map[id.Server]*loop, len(targets))
	for _, t := range targets {
		if l := c.loops[t.Server]; l != nil && l.target == t {
			loops[t.Server] = l
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		loops[t.Server] = &loop{t, cancel}
		go c.run(loopCtx, t)
	}
	for name, l := range c.loops {
		if loops[name] != l {
			l.cancel()
		}
	}
	c.loops = loops
}

// run checks a server until ctx ends.
func (c *Checker) run(ctx context.Context, t Target) {
	timer := time.NewTimer(rand.N(c.Interval))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		timer.Reset(c.Interval)
		select {
		case c.free <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if ctx.Err() == nil { // select may choose any of its cases
			c.check(ctx, t)
		}
		<-c.free
	}
}

// check makes one check.
func (c *Checker) check(ctx context.Context, t Target) {
	left, err := c.Check(ctx, t)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		c.count("failed")
	case left <= 0:
		c.count("warm")
	default:
		c.count("cold")
		c.note(Finding{Server: t.Server, StartedAt: t.StartedAt, Left: left})
	}
}

func (c *Checker) count(result string) {
	c.Metrics.GetOrCreateCounter(`shallotpier_cold_checks_total{result="` + result + `"}`).Inc()
}

// note applies a finding of this entry, and soon notifies the others unless they have notified this
// one.
func (c *Checker) note(f Finding) {
	if !c.Apply(time.Now(), f) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cold == nil {
		c.cold = make(map[id.Server]coldUntil)
	}
	c.cold[f.Server] = coldUntil{f, time.Now().Add(f.Left)}
	if c.found = append(c.found, f); len(c.found) == 1 {
		time.AfterFunc(gatherTime, c.notify)
	}
}

// renew notifies the other entries again of the findings of this entry that have not ended. The
// caller holds the lock.
func (c *Checker) renew(now time.Time) {
	if len(c.cold) == 0 || now.Sub(c.renewed) < renewTime {
		return
	}
	c.renewed = now
	var found []Finding
	for name, cold := range c.cold {
		f := cold.finding
		if f.Left = cold.end.Sub(now); f.Left <= 0 {
			delete(c.cold, name)
			continue
		}
		found = append(found, f)
	}
	if len(found) > 0 {
		go c.send(found, 1)
	}
}

// notify notifies the other entries of the findings that they have not been notified of.
func (c *Checker) notify() {
	c.mu.Lock()
	found := c.found
	c.found = nil
	c.mu.Unlock()
	c.send(found, repeats)
}

// send sends findings to the other entries a number of times, in as many messages as it takes.
func (c *Checker) send(found []Finding, times int) {
	message, err := cbor.Marshal(found)
	switch {
	case err != nil:
		c.Log.Error("findings not encoded", "err", err)
		return
	case len(message) > c.MaxMessage && len(found) > 1:
		c.send(found[:len(found)/2], times)
		c.send(found[len(found)/2:], times)
		return
	}
	for n := range times {
		time.AfterFunc(time.Duration(n)*repeatTime, func() { c.Notify(message) })
	}
}

// valid reports whether the time of the finding is plausible.
func (f *Finding) valid() bool { return f.Left > 0 && f.Left <= maxLeft }

// Receive applies the findings in a message of another entry.
func (c *Checker) Receive(message []byte) {
	var found []Finding
	if err := cbor.Unmarshal(message, &found); err != nil {
		c.Log.Warn("findings dropped", "bytes", len(message), "err", err)
		return
	}
	now := time.Now()
	for _, f := range found {
		if f.valid() && c.Apply(now, f) {
			c.Metrics.GetOrCreateCounter(`shallotpier_cold_reports_total`).Inc()
		}
	}
}
