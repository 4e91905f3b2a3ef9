package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/platform/standin"
)

// maxConfigDelay is the time within which a published configuration must be active
// at an entry that no fault disturbed.
const maxConfigDelay = 2500 * time.Millisecond

// checker compares the records of callers and backend servers.
type checker struct {
	soak       *soak
	attempts   []*attempt
	byID       map[string]*attempt
	runs       map[string][]standin.Run
	relayed    map[string]*process // the entry that answered for another one
	violations []string
}

// report checks the guarantees and summarises the run. The recovery is measured with
// the requests sent after recoveryEnd.
func (s *soak) report(recoveryEnd time.Time) *Report {
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	c := &checker{soak: s, attempts: s.callers.attempts, byID: make(map[string]*attempt), runs: make(map[string][]standin.Run)}
	c.relayed = s.relayed()
	for _, a := range c.attempts {
		c.byID[a.id] = a
	}
	for _, r := range s.ledger.Runs() {
		c.runs[r.Request] = append(c.runs[r.Request], r)
	}
	s.mu.Lock()
	r := &Report{Seed: s.options.Seed, Requests: len(c.attempts), Faults: slices.Clone(s.faults), Folder: s.options.Folder}
	s.mu.Unlock()
	var recovery []*attempt
	recoveryServed := 0
	for _, a := range c.attempts {
		if a.status == http.StatusOK {
			r.Served++
		}
		if a.sent.After(recoveryEnd) && a.version == 0 && !a.crashing && !a.interrupted && !a.mayBeRefused() {
			recovery = append(recovery, a)
			if a.status == http.StatusOK {
				recoveryServed++
			}
		}
	}
	if len(recovery) > 0 {
		r.Recovered = float64(recoveryServed) / float64(len(recovery))
	}
	if r.Recovered < minRecovered {
		c.addViolation("recovery: only %d of %d requests were served after the last fault", recoveryServed, len(recovery))
	}
	c.checkRuns()
	c.checkAnswers()
	c.checkDraining()
	c.checkVersions()
	c.checkRefused(recovery)
	r.Crashes = c.checkCrashing()
	r.Limited = c.checkLimits()
	r.LinkCuts = c.checkLinks()
	r.Leaving = c.checkLeavingAnswers()
	r.Rejected = c.checkOrganisations()
	c.checkCold(r)
	r.Violations = c.violations
	return r
}

// addViolation records a violation of a guarantee.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// seconds returns the time since the start of the run, in seconds.
func (c *checker) seconds(t time.Time) float64 { return t.Sub(c.soak.start).Seconds() }

// checkRuns looks for requests that no caller sent, for writes that ran more than
// once and for requests that reached a server modified.
func (c *checker) checkRuns() {
	for name, runs := range c.runs {
		a := c.byID[name]
		if a == nil {
			c.addViolation("unasked: %s %s ran as %q, which no caller sent", runs[0].Method, runs[0].Path, name)
			continue
		}
		if len(runs) > 1 && a.method == http.MethodPost {
			c.addViolation("twice: %s ran %d times", name, len(runs))
		}
		for _, r := range runs {
			if r.Method != a.method || r.Path != a.path || r.Digest != a.digest && r.Digest != standin.BrokenOff {
				c.addViolation("changed: %s was sent as %s %s and ran as %s %s", name, a.method, a.path, r.Method, r.Path)
			}
		}
	}
}

// checkAnswers looks for wrong answers, for writes that ran although they were
// rejected, and for requests that a graceful shutdown interrupted.
func (c *checker) checkAnswers() {
	for _, a := range c.attempts {
		runs := c.runs[a.id]
		switch {
		case a.status == http.StatusOK && !c.answeredByRun(a, runs):
			c.addViolation("mixed: %s got the wrong answer %q", a.id, a.body)
		case a.status == http.StatusServiceUnavailable && a.method == http.MethodPost && len(runs) > 0:
			c.addViolation("refused: %s was answered with 503 but ran", a.id)
		case a.status == 0 && !a.interrupted && a.duringShutdown && len(runs) > 0 && a.done.Sub(a.sent) < requestDeadline && a.entry.disturbance.quiet(a.done, quietPeriod):
			c.addViolation("lost: %s ran but got no answer at %.2f s from %s, which was shutting down", a.id, c.seconds(a.done), a.entry.name)
		}
	}
}

// answeredByRun reports whether the answer to an attempt is that of one of its runs.
func (c *checker) answeredByRun(a *attempt, runs []standin.Run) bool {
	return slices.ContainsFunc(runs, func(r standin.Run) bool {
		return a.signature == standin.Signature(a.id, r.Server) && a.body == a.id+" "+string(r.Server)
	})
}

// checkDraining looks for requests that reached a server more than drainDelay after
// it had announced draining. An entry that had received the announcement must also
// respect it while the store is disturbed.
func (c *checker) checkDraining() {
	for name, runs := range c.runs {
		a := c.byID[name]
		if a == nil {
			continue
		}
		for _, r := range runs {
			since, ok := c.soak.drainingSince[r.Server]
			if !ok || r.At.Sub(since) <= drainDelay || !c.quiet(c.sender(a), r.At) && !c.received(c.sender(a), since, r.At) {
				continue
			}
			c.addViolation("leaving: %s reached %s through %s %v after the server announced draining", a.id, r.Server, a.entry.name, r.At.Sub(since))
		}
	}
}

// received reports whether an entry must have received an announcement of draining,
// since nothing disturbed it or the store within drainDelay, and whether the entry was
// not disturbed from then on until a time.
func (c *checker) received(e *process, announced, until time.Time) bool {
	deadline := announced.Add(drainDelay)
	return c.soak.storeDisturbance.quiet(deadline, drainDelay) && e.disturbance.quiet(until, until.Sub(announced))
}

// quiet reports whether no fault disturbed the entry or the store during the
// quietPeriod before a time.
func (c *checker) quiet(e *process, at time.Time) bool {
	return e.disturbance.quiet(at, quietPeriod) && c.soak.storeDisturbance.quiet(at, quietPeriod)
}

// checkVersions looks for entries that reverted to an older configuration or applied
// one too late.
func (c *checker) checkVersions() {
	type incarnation struct {
		entry      string
		startCount int
	}
	probes := slices.Clone(c.attempts)
	slices.SortFunc(probes, func(a, b *attempt) int { return a.done.Compare(b.done) })
	type probe struct {
		version int
		done    time.Time
	}
	earlier := make(map[incarnation][]probe)
	for _, a := range probes {
		if a.version == 0 || a.status != http.StatusOK {
			continue
		}
		key := incarnation{a.entry.name, a.startCount}
		for _, p := range earlier[key] {
			if p.done.Before(a.sent) && p.version > a.version {
				c.addViolation("reverted: %s served version %d at %.2f s after version %d", a.entry.name, a.version, c.seconds(a.sent), p.version)
				break
			}
		}
		earlier[key] = append(earlier[key], probe{a.version, a.done})
	}
	for _, a := range c.attempts {
		at, ok := c.soak.versions[a.version+1]
		if a.version > 0 && a.status == http.StatusOK && ok && a.sent.Sub(at) > maxConfigDelay && c.quiet(a.entry, a.sent) {
			c.addViolation("late: %s served version %d at %.2f s, %v after the next version was published", a.entry.name, a.version, c.seconds(a.sent), a.sent.Sub(at))
		}
	}
}

// recordDraining records that a server announced draining now.
func (s *soak) recordDraining(name id.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainingSince[name] = time.Now()
}
