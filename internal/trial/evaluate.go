package trial

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// maxRolloutSeconds is the time within which an accepted configuration must
	// be active at all entries.
	maxRolloutSeconds = 10.0
	// maxExamples limits the violations that are listed for each promise.
	maxExamples = 3
)

type (
	// Promise is the result of checking one guarantee of the system.
	Promise struct {
		// Name states the guarantee.
		Name string `json:"name"`
		// Kept reports whether there were checks and all of them passed.
		Kept bool `json:"kept"`
		// Checked is the number of checks.
		Checked int `json:"checked"`
		// Seen summarises the observations or the violations as text.
		Seen string `json:"seen"`
	}

	// evaluation collects the checks of one promise.
	evaluation struct {
		checked    int
		violations []string
	}
)

// Evaluate checks the promises against the observations, except the one about
// failed requests, which evaluateServed checks with the latency report.
func Evaluate(o *Observed) []Promise {
	return []Promise{
		evaluateShift(o), evaluateServers(o), evaluateLinks(o), evaluateAnswers(o), evaluateNotRun(o),
		evaluateAtMostOnce(o), evaluateDraining(o), evaluateShutdown(o), evaluateVersions(o),
	}
}

func (v *evaluation) check(ok bool, format string, args ...any) {
	v.checked++
	if !ok {
		v.violations = append(v.violations, fmt.Sprintf(format, args...))
	}
}

func (v *evaluation) promise(name, seen string) Promise {
	p := Promise{Name: name, Kept: len(v.violations) == 0 && v.checked > 0, Checked: v.checked, Seen: seen}
	switch {
	case v.checked == 0:
		p.Seen = "nothing to check"
	case len(v.violations) > 0:
		examples := v.violations[:min(len(v.violations), maxExamples)]
		p.Seen = fmt.Sprintf("violated %d times, for example %q", len(v.violations), examples)
	}
	return p
}

func evaluateShift(o *Observed) Promise {
	var v evaluation
	largest := Rise{Cap: 1}
	for _, r := range o.Rises {
		v.check(r.Max <= r.Cap, "%s toward %s rose by %.1f requests/s, cap %.1f", r.Service, r.Region, r.Max, r.Cap)
		if r.Max/r.Cap > largest.Max/largest.Cap {
			largest = r
		}
	}
	return v.promise("a shift toward a region stays under its cap",
		fmt.Sprintf("largest rise %.1f of %.1f requests/s, %s toward %s", largest.Max, largest.Cap, largest.Service, largest.Region))
}

func evaluateServers(o *Observed) Promise {
	var v evaluation
	used, full := 0, 0
	for _, p := range o.ServerPeaks {
		v.check(p.Running <= p.Slots && p.Overloads == 0, "%s ran %d requests at once with %d slots", p.Server, p.Running, p.Slots)
		v.check(p.Open <= p.Connections && p.Refused == 0, "%s had %d connections of %d, %d refused", p.Server, p.Open, p.Connections, p.Refused)
		if p.Running > 0 {
			used++
		}
		if p.Running == p.Slots {
			full++
		}
	}
	if used == 0 {
		v.checked = 0
	}
	return v.promise("no backend server gets more requests than slots",
		fmt.Sprintf("%d backend servers ran requests, %d of them used all slots at once", used, full))
}

func evaluateLinks(o *Observed) Promise {
	var v evaluation
	smallest := 1.0
	for _, l := range o.Links {
		v.check(l.Peak <= l.Budget, "%s to %s carried %.1f of %.1f Mbit/s", l.From, l.To, l.Peak/1e6, l.Budget/1e6)
		smallest = min(smallest, l.Headroom)
	}
	return v.promise("no link carries more than entries may send", fmt.Sprintf("smallest headroom of a link direction %.1f%%", 100*smallest))
}

func evaluateAnswers(o *Observed) Promise {
	var v evaluation
	for _, a := range o.Attempts {
		if a.Code == result.Served || a.Code == result.Replayed {
			v.check(a.AnswerValid, "attempt %s got an incomplete answer or that of another request", a.ID)
		}
	}
	return v.promise("callers get the whole answer to their own request", fmt.Sprintf("%d answers, all complete and to the right request", v.checked))
}

func evaluateNotRun(o *Observed) Promise {
	var v evaluation
	for _, a := range o.Attempts {
		if a.Code != 0 && a.Ran == result.No {
			v.check(o.Executions[a.ID].Count == 0, "attempt %s was reported as not run with code %d but ran on %v", a.ID, a.Code, o.Executions[a.ID].Servers)
		}
	}
	return v.promise("what is told not run was not run", fmt.Sprintf("%d attempts were reported as not run, none of them ran", v.checked))
}

func evaluateAtMostOnce(o *Observed) Promise {
	var v evaluation
	runs := map[string]int{}
	sends := 0
	for _, a := range o.Attempts {
		if a.Kind == service.Once {
			runs[a.Request] += o.Executions[a.ID].Count
			sends++
		}
	}
	for request, count := range runs {
		v.check(count <= 1, "request %s was executed %d times", request, count)
	}
	slices.Sort(v.violations)
	return v.promise("once-only requests are executed at most once", fmt.Sprintf("%d requests in %d attempts, none executed twice", len(runs), sends))
}

func evaluateDraining(o *Observed) Promise {
	var v evaluation
	if o.LateChecked {
		v.check(len(o.LateRequests) == 0, "%d requests started there later: %v", len(o.LateRequests), o.LateRequests[:min(len(o.LateRequests), maxExamples)])
	}
	return v.promise("a leaving backend server gets no new work after 3 s", "no request started there later")
}

func evaluateShutdown(o *Observed) Promise {
	var v evaluation
	for _, u := range o.Uploads {
		v.check(u.Complete, "the upload through %s was interrupted", u.Via)
		v.check(u.Outlasted, "the upload through %s ended too early for the stop to interrupt it", u.Via)
	}
	v.check(o.Shutdown.Clean, "%s did not terminate by itself without an error", o.Shutdown.Instance)
	inProgress := 0
	for _, a := range o.Attempts {
		if !a.DuringShutdown {
			continue
		}
		inProgress++
		v.check(a.Ran != result.Unknown, "attempt %s at %s ended with code %d", a.ID, a.Entry, a.Code)
	}
	if inProgress == 0 || len(o.Uploads) == 0 {
		v.checked = 0
	}
	return v.promise("a planned stop cuts no running request",
		fmt.Sprintf("%d long uploads and %d requests in progress during the stops, none interrupted", len(o.Uploads), inProgress))
}

func evaluateVersions(o *Observed) Promise {
	var v evaluation
	slowest := 0.0
	for _, p := range o.Versions {
		v.check(p.Complete && p.RolloutSeconds <= maxRolloutSeconds, "version %d took %.1f s", p.Version, p.RolloutSeconds)
		slowest = max(slowest, p.RolloutSeconds)
	}
	for _, all := range byEntry(o.Attempts) {
		v.checkMonotonic(all)
	}
	if len(o.Versions) < 2 {
		v.checked = 0
	}
	return v.promise("an accepted configuration is in force everywhere within seconds and never reverts",
		fmt.Sprintf("%d versions, active at all entries after at most %.2f s, none reverted", len(o.Versions), slowest))
}

// byEntry groups by entry the attempts whose answers contained a version.
func byEntry(all []Attempt) map[id.Instance][]Attempt {
	out := map[id.Instance][]Attempt{}
	for _, a := range all {
		if a.Version != 0 {
			out[a.Entry] = append(out[a.Entry], a)
		}
	}
	return out
}

// checkMonotonic checks the attempts at one entry: an attempt that began after
// another one had ended must not be answered with an older version.
func (v *evaluation) checkMonotonic(all []Attempt) {
	began := slices.Clone(all)
	slices.SortFunc(began, func(a, b Attempt) int { return cmp.Compare(a.Began, b.Began) })
	slices.SortFunc(all, func(a, b Attempt) int { return cmp.Compare(a.Ended, b.Ended) })
	highest, next := id.Version(0), 0
	for _, a := range began {
		for next < len(all) && all[next].Ended < a.Began {
			highest = max(highest, all[next].Version)
			next++
		}
		v.check(a.Version >= highest, "%s answered with version %d after %d", a.Entry, a.Version, highest)
	}
}

// evaluateServed checks that callers reach a backend server: no request or
// lookup may have failed after the client's retries.
func evaluateServed(rows []Latency) Promise {
	var v evaluation
	sent := 0
	for _, l := range rows {
		v.check(l.Failed == 0, "%d of %d of %s/%s failed: %s", l.Failed, l.Sent, l.Service, l.Class, l.FirstError)
		sent += l.Sent
	}
	if sent == 0 {
		v.checked = 0
	}
	return v.promise("callers reach a backend server that can answer", fmt.Sprintf("%d requests and lookups, all served", sent))
}
