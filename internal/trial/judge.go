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
	// maxSpread is the time, in seconds, within which an accepted
	// configuration must be in force everywhere.
	maxSpread = 10.0
	// maxExamples bounds the broken cases that are named.
	maxExamples = 3
)

type (
	// Promise is one of what must always hold, with what was seen.
	Promise struct {
		// Name is the promise in short.
		Name string `json:"name"`
		// Kept tells whether it held for all that was checked.
		Kept bool `json:"kept"`
		// Checked counts what it was held against.
		Checked int `json:"checked"`
		// Seen says what was seen.
		Seen string `json:"seen"`
	}

	// verdict collects what is seen of one promise.
	verdict struct {
		checked int
		broken  []string
	}
)

// Judge holds what was seen against the promises.
func Judge(o *Observed) []Promise {
	return []Promise{
		judgeShift(o), judgeServers(o), judgeLinks(o), judgeAnswers(o), judgeNotRun(o),
		judgeOnce(o), judgeLeaving(o), judgeStop(o), judgeVersions(o),
	}
}

func (v *verdict) check(ok bool, format string, args ...any) {
	v.checked++
	if !ok {
		v.broken = append(v.broken, fmt.Sprintf(format, args...))
	}
}

func (v *verdict) promise(name, seen string) Promise {
	p := Promise{Name: name, Kept: len(v.broken) == 0 && v.checked > 0, Checked: v.checked, Seen: seen}
	switch {
	case v.checked == 0:
		p.Seen = "nothing to hold it against"
	case len(v.broken) > 0:
		examples := v.broken[:min(len(v.broken), maxExamples)]
		p.Seen = fmt.Sprintf("broken %d times, such as %q", len(v.broken), examples)
	}
	return p
}

func judgeShift(o *Observed) Promise {
	var v verdict
	greatest := Rise{Cap: 1}
	for _, r := range o.Rises {
		v.check(r.Greatest <= r.Cap, "%s toward %s rose by %.1f requests/s, cap %.1f", r.Service, r.Region, r.Greatest, r.Cap)
		if r.Greatest/r.Cap > greatest.Greatest/greatest.Cap {
			greatest = r
		}
	}
	return v.promise("a shift toward a region stays under its cap",
		fmt.Sprintf("greatest rise %.1f of %.1f requests/s, %s toward %s", greatest.Greatest, greatest.Cap, greatest.Service, greatest.Region))
}

func judgeServers(o *Observed) Promise {
	var v verdict
	used, full := 0, 0
	for _, p := range o.Peaks {
		v.check(p.Running <= p.Slots && p.Overloads == 0, "%s ran %d requests on %d slots", p.Server, p.Running, p.Slots)
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
		fmt.Sprintf("%d backend servers ran requests, %d of them had all slots in use at once", used, full))
}

func judgeLinks(o *Observed) Promise {
	var v verdict
	least := 1.0
	for _, l := range o.Links {
		v.check(l.Peak <= l.Budget, "%s to %s carried %.1f of %.1f Mbit/s", l.From, l.To, l.Peak/1e6, l.Budget/1e6)
		least = min(least, l.Headroom)
	}
	return v.promise("no link carries more than entries may send", fmt.Sprintf("least headroom of a direction %.1f%%", 100*least))
}

func judgeAnswers(o *Observed) Promise {
	var v verdict
	for _, a := range o.Attempts {
		if a.Code == result.Served || a.Code == result.Replayed {
			v.check(a.Own, "attempt %s got a part or another answer", a.ID)
		}
	}
	return v.promise("callers get the whole answer to their own request", fmt.Sprintf("%d answers, each whole and the request's own", v.checked))
}

func judgeNotRun(o *Observed) Promise {
	var v verdict
	for _, a := range o.Attempts {
		if a.Code != 0 && a.Ran == result.No {
			v.check(o.Ran[a.ID].Count == 0, "attempt %s was told not run with code %d and ran on %v", a.ID, a.Code, o.Ran[a.ID].Servers)
		}
	}
	return v.promise("what is told not run was not run", fmt.Sprintf("%d attempts were told so, none of them ran", v.checked))
}

func judgeOnce(o *Observed) Promise {
	var v verdict
	runs := map[string]int{}
	sends := 0
	for _, a := range o.Attempts {
		if a.Kind == service.Once {
			runs[a.Request] += o.Ran[a.ID].Count
			sends++
		}
	}
	for request, count := range runs {
		v.check(count <= 1, "request %s was executed %d times", request, count)
	}
	slices.Sort(v.broken)
	return v.promise("once-only requests are executed at most once", fmt.Sprintf("%d requests in %d sends, none executed twice", len(runs), sends))
}

func judgeLeaving(o *Observed) Promise {
	var v verdict
	if o.LateLooked {
		v.check(len(o.Late) == 0, "%d requests began there later: %v", len(o.Late), o.Late[:min(len(o.Late), maxExamples)])
	}
	return v.promise("a leaving backend server gets no new work after 3 s", "none began there later")
}

func judgeStop(o *Observed) Promise {
	var v verdict
	for _, u := range o.Uploads {
		v.check(u.Whole, "the upload through %s was cut", u.Through)
		v.check(u.Outlasted, "the upload through %s ended before the stop could have cut it", u.Through)
	}
	v.check(o.Stopped.Clean, "%s did not end by itself", o.Stopped.Instance)
	during := 0
	for _, a := range o.Attempts {
		if !a.Planned {
			continue
		}
		during++
		v.check(a.Ran != result.Unknown, "attempt %s at %s ended with code %d", a.ID, a.Entry, a.Code)
	}
	if during == 0 || len(o.Uploads) == 0 {
		v.checked = 0
	}
	return v.promise("a planned stop cuts no running request",
		fmt.Sprintf("%d long uploads and %d requests under way during the stops, none cut", len(o.Uploads), during))
}

func judgeVersions(o *Observed) Promise {
	var v verdict
	slowest := 0.0
	for _, p := range o.Versions {
		v.check(p.Reached && p.Everywhere <= maxSpread, "version %d took %.1f s", p.Version, p.Everywhere)
		slowest = max(slowest, p.Everywhere)
	}
	for _, all := range byEntry(o.Attempts) {
		v.checkRising(all)
	}
	if len(o.Versions) < 2 {
		v.checked = 0
	}
	return v.promise("an accepted configuration is in force everywhere within seconds and never reverts",
		fmt.Sprintf("%d versions, in force at every entry after at most %.2f s, none reverted", len(o.Versions), slowest))
}

// byEntry returns the attempts that were answered with a version.
func byEntry(all []Attempt) map[id.Instance][]Attempt {
	out := map[id.Instance][]Attempt{}
	for _, a := range all {
		if a.Version != 0 {
			out[a.Entry] = append(out[a.Entry], a)
		}
	}
	return out
}

// checkRising checks that an attempt that began after another at the same
// entry had ended was not answered with an older version.
func (v *verdict) checkRising(all []Attempt) {
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

// judgeServed holds the failures that callers were left with against the
// promise that they reach a backend server.
func judgeServed(rows []Latency) Promise {
	var v verdict
	sent := 0
	for _, l := range rows {
		v.check(l.Failed == 0, "%d of %d of %s/%s failed: %s", l.Failed, l.Sent, l.Service, l.Class, l.FirstError)
		sent += l.Sent
	}
	if sent == 0 {
		v.checked = 0
	}
	return v.promise("callers reach a backend server that can answer", fmt.Sprintf("%d requests and look-ups, all served", sent))
}
