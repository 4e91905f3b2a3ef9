// Package coldcheck asks backend servers whether they are cold while no entry hears from the
// store.
//
// A server may become cold at any moment, after which it takes few requests from all entries
// together. Its registration says so, but can't be read while the store is unavailable. Its
// health checks say so too. They wait for a slot like requests, so that a check which isn't
// answered in time may be that of a cold server with a queue.
//
// Each server is checked by a few entries several times a second. What they find is told to all
// entries at once, since each of them sends to the server.
//
// # Usage
//
//	c := &coldcheck.Checker{
//		Interval: interval, Patience: patience, Ask: ask, Apply: apply, Tell: tell, Log: log, Metrics: set,
//	}
//	c.Step(ctx, targets)  // whenever the servers to check may have changed
//	c.Receive(message)    // of another entry
package coldcheck

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
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
	// gatherTime is how long a finding waits for others before it is told: servers of a zone
	// become cold together.
	gatherTime = 10 * time.Millisecond
	// repeats is how often a finding is told, since datagrams may be lost, and repeatTime the
	// time between two of them.
	repeats    = 3
	repeatTime = 100 * time.Millisecond
	// maxFindings is the maximum number of findings in a message, which then fits into a
	// packet.
	maxFindings = 16
	// maxLeft is the longest slow start that another entry may tell of.
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

	// Finding says that a server is cold, or may be.
	Finding struct {
		// Server is the server's name.
		Server id.Server `cbor:"1,keyasint"`
		// StartedAt is the Unix time of its start in milliseconds, 0 if unknown.
		StartedAt int64 `cbor:"2,keyasint,omitempty"`
		// Left is for how much longer the server is cold, 0 if Overdue is set.
		Left time.Duration `cbor:"3,keyasint,omitempty"`
		// Overdue is set if the server has not answered a check in time. It may be cold: such
		// a server takes longer, and checks wait for a slot like requests.
		Overdue bool `cbor:"4,keyasint,omitempty"`
	}

	// Checker checks servers. Its exported fields must be set before its first use and must
	// not change after it. It is safe for concurrent use.
	Checker struct {
		// Interval is the time between two checks of a server.
		Interval time.Duration
		// Ask makes one check and returns for how much longer the server is cold, 0 if it is
		// not.
		Ask func(ctx context.Context, t Target) (time.Duration, error)
		// Patience is the time after which the answer to a check is overdue.
		Patience time.Duration
		// Apply records a finding of this entry or another. It reports whether the finding
		// was new.
		Apply func(now time.Time, f Finding) bool
		// Tell sends a message to all other entries, which pass it to Receive.
		Tell func(message []byte)
		// Log receives a line for each message that can't be read.
		Log *slog.Logger
		// Metrics receives the counters.
		Metrics *metrics.Set

		mu    sync.Mutex
		loops map[id.Server]*loop
		// free has one element for each running check; nil before the first.
		free  chan struct{}
		found []Finding // not told yet
		// answered is the time of the latest answer of any server.
		answered time.Time
	}

	answer struct {
		left time.Duration
		err  error
	}

	// loop checks one server again and again.
	loop struct {
		target Target
		cancel context.CancelFunc
	}
)

// Step sets the servers to check. Checks of servers that are not among them end. The first check
// of a server comes at a random time within the interval, so that entries that share a server
// don't check it in step.
func (c *Checker) Step(ctx context.Context, targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
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
		c.check(ctx, t)
		<-c.free
	}
}

// check makes one check. While its answer is overdue, the server counts as one that may be cold.
func (c *Checker) check(ctx context.Context, t Target) {
	began := time.Now()
	answers := make(chan answer, 1)
	go func() {
		left, err := c.Ask(ctx, t)
		answers <- answer{left, err}
	}()
	timer := time.NewTimer(c.Patience)
	defer timer.Stop()
	for {
		select {
		case a := <-answers:
			if ctx.Err() == nil {
				c.finish(t, a)
			}
			return
		case <-timer.C:
			if c.answeredSince(began) {
				c.count("overdue")
				c.note(Finding{Server: t.Server, StartedAt: t.StartedAt, Overdue: true})
			}
			timer.Reset(repeatTime)
		}
	}
}

// finish records the answer to a check.
func (c *Checker) finish(t Target, a answer) {
	if a.err != nil {
		c.count("failed")
		return
	}
	c.mu.Lock()
	c.answered = time.Now()
	c.mu.Unlock()
	if a.left <= 0 {
		c.count("warm")
		return
	}
	c.count("cold")
	c.note(Finding{Server: t.Server, StartedAt: t.StartedAt, Left: a.left})
}

// answeredSince reports whether any server has answered since a time. If none has, it is this
// entry that the answers don't reach.
func (c *Checker) answeredSince(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered.After(at)
}

func (c *Checker) count(result string) {
	c.Metrics.GetOrCreateCounter(`shallotpier_cold_checks_total{result="` + result + `"}`).Inc()
}

// note applies a finding of this entry, and tells the others of it soon unless they have told
// this one.
func (c *Checker) note(f Finding) {
	if !c.Apply(time.Now(), f) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.found = append(c.found, f); len(c.found) == 1 {
		time.AfterFunc(gatherTime, c.tell)
	}
}

// tell tells the other entries of all findings that were not told yet. Those that are overdue are
// found again soon, the others are repeated.
func (c *Checker) tell() {
	c.mu.Lock()
	found := c.found
	c.found = nil
	c.mu.Unlock()
	c.send(slices.DeleteFunc(slices.Clone(found), func(f Finding) bool { return f.Overdue }), repeats)
	c.send(slices.DeleteFunc(found, func(f Finding) bool { return !f.Overdue }), 1)
}

// send sends findings to the other entries a number of times.
func (c *Checker) send(found []Finding, times int) {
	for part := range slices.Chunk(found, maxFindings) {
		message, err := cbor.Marshal(part)
		if err != nil {
			c.Log.Error("findings not encoded", "err", err)
			return
		}
		c.Tell(message)
		for n := 1; n < times; n++ {
			time.AfterFunc(time.Duration(n)*repeatTime, func() { c.Tell(message) })
		}
	}
}

// valid reports whether the finding says that its server is cold, for a plausible time, or may be.
func (f *Finding) valid() bool { return f.Overdue || f.Left > 0 && f.Left <= maxLeft }

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
