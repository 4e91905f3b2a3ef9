package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/platform/standin"
)

// applyTime is how soon a configuration must be in force at an entry that nothing
// disturbed.
const applyTime = 2500 * time.Millisecond

// view joins what callers and servers saw.
type view struct {
	soak     *soak
	attempts []*attempt
	byID     map[string]*attempt
	runs     map[string][]standin.Run
	broken   []string
}

// report checks the promises.
func (s *soak) report(settled time.Time) *Report {
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	v := &view{soak: s, attempts: s.callers.attempts, byID: make(map[string]*attempt), runs: make(map[string][]standin.Run)}
	for _, a := range v.attempts {
		v.byID[a.id] = a
	}
	for _, r := range s.ledger.Runs() {
		v.runs[r.Request] = append(v.runs[r.Request], r)
	}
	r := &Report{Seed: s.options.Seed, Requests: len(v.attempts), Faults: s.faults, Folder: s.options.Folder}
	late, lateServed := 0, 0
	for _, a := range v.attempts {
		if a.status == http.StatusOK {
			r.Served++
		}
		if a.sent.After(settled) && a.version == 0 {
			late++
			if a.status == http.StatusOK {
				lateServed++
			}
		}
	}
	if late > 0 {
		r.Settled = float64(lateServed) / float64(late)
	}
	if r.Settled < recovered {
		v.breaks("recovery: %d of %d requests were served after the last fault", lateServed, late)
	}
	v.checkRuns()
	v.checkAnswers()
	v.checkLeaving()
	v.checkVersions()
	r.Violations = v.broken
	return r
}

func (v *view) breaks(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

func (v *view) since(t time.Time) float64 { return t.Sub(v.soak.start).Seconds() }

// checkRuns looks for requests that ran twice, changed, or were never sent.
func (v *view) checkRuns() {
	for name, runs := range v.runs {
		a := v.byID[name]
		if a == nil {
			continue // its caller was cut off by the end of the run
		}
		if len(runs) > 1 && a.method == http.MethodPost {
			v.breaks("twice: %s ran %d times", name, len(runs))
		}
		for _, r := range runs {
			if r.Method != a.method || r.Path != a.path || r.Digest != a.digest && r.Digest != "broken off" {
				v.breaks("changed: %s was sent as %s %s and ran as %s %s", name, a.method, a.path, r.Method, r.Path)
			}
		}
	}
}

// checkAnswers looks for wrong answers, untrue refusals, and requests that a
// planned stop cut off.
func (v *view) checkAnswers() {
	for _, a := range v.attempts {
		runs := v.runs[a.id]
		switch {
		case a.status == http.StatusOK && !v.answers(a, runs):
			v.breaks("mixed: %s got %q", a.id, a.body)
		case a.status == http.StatusServiceUnavailable && a.method == http.MethodPost && len(runs) > 0:
			v.breaks("refused: %s got 503 and ran", a.id)
		case a.status == 0 && a.stopping && len(runs) > 0 && a.done.Sub(a.sent) < deadline && a.entry.disturbed.calm(a.done, touchTime):
			v.breaks("lost: %s ran and got no answer at %.2f s from %s, which was stopping", a.id, v.since(a.done), a.entry.name)
		}
	}
}

// answers tells whether an attempt got the answer of one of its runs.
func (v *view) answers(a *attempt, runs []standin.Run) bool {
	return slices.ContainsFunc(runs, func(r standin.Run) bool {
		return a.sign == standin.Signature(a.id, r.Server) && a.body == a.id+" "+string(r.Server)
	})
}

// checkLeaving looks for requests at servers that had said that they leave.
func (v *view) checkLeaving() {
	for name, runs := range v.runs {
		a := v.byID[name]
		if a == nil {
			continue
		}
		for _, r := range runs {
			left, ok := v.soak.left[r.Server]
			if !ok || r.At.Sub(left) <= leaveTime || !v.calm(a.entry, r.At) {
				continue
			}
			v.breaks("leaving: %s reached %s through %s %v after it said that it leaves", a.id, r.Server, a.entry.name, r.At.Sub(left))
		}
	}
}

// calm tells whether neither an entry nor the store was disturbed for a time.
func (v *view) calm(e *process, at time.Time) bool {
	return e.disturbed.calm(at, touchTime) && v.soak.storeDisturbed.calm(at, touchTime)
}

// checkVersions looks for configurations that went back.
func (v *view) checkVersions() {
	type process struct {
		entry string
		start int
	}
	probes := slices.Clone(v.attempts)
	slices.SortFunc(probes, func(a, b *attempt) int { return a.done.Compare(b.done) })
	type seen struct {
		version int
		done    time.Time
	}
	newest := make(map[process][]seen)
	for _, a := range probes {
		if a.version == 0 || a.status != http.StatusOK {
			continue
		}
		key := process{a.entry.name, a.start}
		for _, s := range newest[key] {
			if s.done.Before(a.sent) && s.version > a.version {
				v.breaks("reverted: %s served version %d at %.2f s after it had served %d", a.entry.name, a.version, v.since(a.sent), s.version)
				break
			}
		}
		newest[key] = append(newest[key], seen{a.version, a.done})
	}
	for _, a := range v.attempts {
		at, ok := v.soak.versions[a.version+1]
		if a.version > 0 && a.status == http.StatusOK && ok && a.sent.Sub(at) > applyTime && v.calm(a.entry, a.sent) {
			v.breaks("late: %s served version %d at %.2f s, %v after the next", a.entry.name, a.version, v.since(a.sent), a.sent.Sub(at))
		}
	}
}

// leaves notes that a server says that it leaves.
func (s *soak) leaves(name id.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left[name] = time.Now()
}
