package trial

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/openloop"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// observedWithoutViolation returns observations in which every promise is kept.
func observedWithoutViolation() *Observed {
	return &Observed{
		Attempts: []Attempt{
			{ID: "r-1.1", Request: "r-1", Kind: service.Read, Entry: "entry-1", Server: "s-1", Code: result.Served, Ran: result.Yes, Version: 1, AnswerValid: true, Began: 1, Ended: 2},
			{ID: "c-1.1", Request: "c-1", Kind: service.Once, Entry: "entry-1", Server: "s-1", Code: result.Served, Ran: result.Yes, Version: 2, AnswerValid: true, Began: 3, Ended: 4},
			{ID: "c-1.5", Request: "c-1", Kind: service.Once, Entry: "entry-1", Server: "s-1", Code: result.Replayed, Ran: result.Yes, Version: 2, AnswerValid: true, Began: 5, Ended: 6},
			{ID: "r-2.1", Request: "r-2", Kind: service.Read, Entry: "entry-2", Code: result.NoCapacity, Ran: result.No, Version: 1, Began: 1, Ended: 2},
			{ID: "r-3.1", Request: "r-3", Kind: service.Read, Entry: "entry-7", Server: "s-1", Code: result.Served, Ran: result.Yes, Version: 1, AnswerValid: true, DuringShutdown: true},
		},
		Executions:  map[string]Executions{"r-1.1": {Count: 1}, "c-1.1": {Count: 1}, "r-3.1": {Count: 1}},
		ServerPeaks: []ServerPeak{{Server: "s-1", Slots: 3, Running: 3, Connections: 4, Open: 4}},
		Links:       []Link{{From: "a", To: "b", Budget: 10, Peak: 10}},
		Rises:       []Rise{{Service: "s", Region: "a", Cap: 5, Max: 5}},
		LateChecked: true,
		Uploads:     []LongUpload{{Via: "entry-7", Complete: true, Outlasted: true}},
		Versions:    []Publication{{Version: 1, Complete: true, RolloutSeconds: 1}, {Version: 2, Complete: true, RolloutSeconds: 2}},
		Shutdown:    Shutdown{Instance: "entry-7", Clean: true},
	}
}

func TestEvaluateKeepsAllPromisesWithoutViolation(t *testing.T) {
	is := is.New(t)
	for _, p := range Evaluate(observedWithoutViolation()) {
		if !p.Kept {
			t.Errorf("%s: %s", p.Name, p.Seen)
		}
		is.True(p.Checked > 0)
	}
}

func TestEvaluateReportsExactlyTheBrokenPromise(t *testing.T) {
	tests := map[string]struct {
		mutate func(o *Observed)
		broken string
	}{
		"rise over the cap":              {mutate: func(o *Observed) { o.Rises[0].Max = 5.1 }, broken: "a shift toward a region stays under its cap"},
		"no rise measured":               {mutate: func(o *Observed) { o.Rises = nil }, broken: "a shift toward a region stays under its cap"},
		"more than slots":                {mutate: func(o *Observed) { o.ServerPeaks[0].Running = 4 }, broken: "no backend server gets more requests than slots"},
		"overload":                       {mutate: func(o *Observed) { o.ServerPeaks[0].Overloads = 1 }, broken: "no backend server gets more requests than slots"},
		"connection refused":             {mutate: func(o *Observed) { o.ServerPeaks[0].Refused = 1 }, broken: "no backend server gets more requests than slots"},
		"no server used":                 {mutate: func(o *Observed) { o.ServerPeaks[0].Running = 0 }, broken: "no backend server gets more requests than slots"},
		"link over its budget":           {mutate: func(o *Observed) { o.Links[0].Peak = 11 }, broken: "no link carries more than entries may send"},
		"answer to another request":      {mutate: func(o *Observed) { o.Attempts[0].AnswerValid = false }, broken: "callers get the whole answer to their own request"},
		"replay for another request":     {mutate: func(o *Observed) { o.Attempts[2].AnswerValid = false }, broken: "callers get the whole answer to their own request"},
		"reported as not run, but ran":   {mutate: func(o *Observed) { o.Executions["r-2.1"] = Executions{Count: 1} }, broken: "what is told not run was not run"},
		"no attempt reported as not run": {mutate: func(o *Observed) { o.Attempts[3].Ran = result.Unknown }, broken: "what is told not run was not run"},
		"retry executed":                 {mutate: func(o *Observed) { o.Executions["c-1.5"] = Executions{Count: 1} }, broken: "once-only requests are executed at most once"},
		"executed twice":                 {mutate: func(o *Observed) { o.Executions["c-1.1"] = Executions{Count: 2} }, broken: "once-only requests are executed at most once"},
		"request after the grace period": {mutate: func(o *Observed) { o.LateRequests = []string{"r-9.1"} }, broken: "a leaving backend server gets no new work after 3 s"},
		"late requests not checked":      {mutate: func(o *Observed) { o.LateChecked = false }, broken: "a leaving backend server gets no new work after 3 s"},
		"upload interrupted":             {mutate: func(o *Observed) { o.Uploads[0].Complete = false }, broken: "a planned stop cuts no running request"},
		"upload too short":               {mutate: func(o *Observed) { o.Uploads[0].Outlasted = false }, broken: "a planned stop cuts no running request"},
		"shutdown failed":                {mutate: func(o *Observed) { o.Shutdown.Clean = false }, broken: "a planned stop cuts no running request"},
		"request interrupted":            {mutate: func(o *Observed) { o.Attempts[4].Ran, o.Attempts[4].Code = result.Unknown, 0 }, broken: "a planned stop cuts no running request"},
		"no request during shutdown":     {mutate: func(o *Observed) { o.Attempts[4].DuringShutdown = false }, broken: "a planned stop cuts no running request"},
		"version reverts":                {mutate: func(o *Observed) { o.Attempts[2].Version = 1 }, broken: "an accepted configuration is in force everywhere within seconds and never reverts"},
		"version not active everywhere":  {mutate: func(o *Observed) { o.Versions[1].Complete = false }, broken: "an accepted configuration is in force everywhere within seconds and never reverts"},
		"version active too late":        {mutate: func(o *Observed) { o.Versions[1].RolloutSeconds = 11 }, broken: "an accepted configuration is in force everywhere within seconds and never reverts"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := observedWithoutViolation()
			tt.mutate(o)
			for _, p := range Evaluate(o) {
				is.Equal(!p.Kept, p.Name == tt.broken) // no other promise is broken
			}
		})
	}
}

func TestEvaluateServedIsBrokenByFailuresAndWithoutRequests(t *testing.T) {
	is := is.New(t)
	served := Latency{Sent: 3, Percentiles: openloop.Percentiles{Count: 3}}
	is.True(evaluateServed([]Latency{served}).Kept)
	is.True(!evaluateServed([]Latency{served, {Sent: 3, Failed: 1}}).Kept)
	is.True(!evaluateServed(nil).Kept)
}

func TestMaxRiseOfAdjacentWindows(t *testing.T) {
	at := func(seconds ...float64) []time.Duration {
		var out []time.Duration
		for _, s := range seconds {
			out = append(out, time.Duration(s*float64(time.Second)))
		}
		return out
	}
	tests := map[string]struct {
		times []time.Duration
		want  float64
	}{
		"no requests":        {},
		"start from no load": {times: at(0, 0.5, 1, 1.5), want: 2},
		"constant rate":      {times: at(0, 1, 2, 3, 4, 5, 6, 7), want: 1},
		"later burst":        {times: at(0, 1, 2, 3, 4, 4.1, 4.2, 4.3), want: 1.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(maxRise(tt.times, 2*time.Second), tt.want)
		})
	}
}

func TestAnswerMatchesOnlyTheCompleteAnswerToTheRequest(t *testing.T) {
	read := &request{name: "r-1", class: &service.Class{Kind: service.Read}, size: 4}
	once := &request{name: "c-1", class: &service.Class{Kind: service.Once}, size: 4}
	tests := map[string]struct {
		text   string
		req    *request
		id     string
		server id.Server
		want   bool
	}{
		"complete answer":            {text: "r-1.1 s-1 4\n", req: read, id: "r-1.1", server: "s-1", want: true},
		"another request":            {text: "r-2.1 s-1 4\n", req: read, id: "r-1.1", server: "s-1"},
		"another attempt":            {text: "r-1.2 s-1 4\n", req: read, id: "r-1.1", server: "s-1"},
		"another server":             {text: "r-1.1 s-2 4\n", req: read, id: "r-1.1", server: "s-1"},
		"truncated":                  {text: "r-1.1 s-1", req: read, id: "r-1.1", server: "s-1"},
		"truncated body":             {text: "r-1.1 s-1 3\n", req: read, id: "r-1.1", server: "s-1"},
		"replay":                     {text: "c-1.1 s-1 4\n", req: once, id: "c-1.5", server: "s-1", want: true},
		"replay for another request": {text: "c-12.1 s-1 4\n", req: once, id: "c-1.5", server: "s-1"},
		"empty answer":               {req: read, id: "r-1.1"},
		"no server in the header":    {text: "r-1.1 s-1 4\n", req: read, id: "r-1.1", want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(answerMatches(tt.text, tt.req, &Attempt{ID: tt.id, Server: tt.server}), tt.want)
		})
	}
}

func TestPickWeightedFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	c := newTestCallers()
	entries := []lookup.Entry{{Instance: "a", Weight: 3}, {Instance: "b", Weight: 1}, {Instance: "c"}}
	counts := map[id.Instance]int{}
	for range 4000 {
		e, ok := c.pickWeighted(entries)
		is.True(ok)
		counts[e.Instance]++
	}
	is.True(counts["a"] > 2800 && counts["a"] < 3200)
	is.Equal(counts["c"], 0)
	_, ok := c.pickWeighted(entries[2:])
	is.True(!ok)
}

func newTestCallers() *callers { return &callers{rng: rand.New(rand.NewPCG(1, 2))} }
