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

// good returns an observation in which every promise holds.
func good() *Observed {
	return &Observed{
		Attempts: []Attempt{
			{ID: "r-1.1", Request: "r-1", Kind: service.Read, Entry: "entry-1", Server: "s-1", Code: result.Served, Ran: result.Yes, Version: 1, Own: true, Began: 1, Ended: 2},
			{ID: "c-1.1", Request: "c-1", Kind: service.Once, Entry: "entry-1", Server: "s-1", Code: result.Served, Ran: result.Yes, Version: 2, Own: true, Began: 3, Ended: 4},
			{ID: "c-1.5", Request: "c-1", Kind: service.Once, Entry: "entry-1", Server: "s-1", Code: result.Replayed, Ran: result.Yes, Version: 2, Own: true, Began: 5, Ended: 6},
			{ID: "r-2.1", Request: "r-2", Kind: service.Read, Entry: "entry-2", Code: result.NoCapacity, Ran: result.No, Version: 1, Began: 1, Ended: 2},
			{ID: "r-3.1", Request: "r-3", Kind: service.Read, Entry: "entry-7", Server: "s-1", Code: result.Served, Ran: result.Yes, Version: 1, Own: true, Planned: true},
		},
		Ran:        map[string]Ran{"r-1.1": {Count: 1}, "c-1.1": {Count: 1}, "r-3.1": {Count: 1}},
		Peaks:      []Peak{{Server: "s-1", Slots: 3, Running: 3, Connections: 4, Open: 4}},
		Links:      []Link{{From: "a", To: "b", Budget: 10, Peak: 10}},
		Rises:      []Rise{{Service: "s", Region: "a", Cap: 5, Greatest: 5}},
		LateLooked: true,
		Uploads:    []LongUpload{{Through: "entry-7", Whole: true, Outlasted: true}},
		Versions:   []Publication{{Version: 1, Reached: true, Everywhere: 1}, {Version: 2, Reached: true, Everywhere: 2}},
		Stopped:    Stop{Instance: "entry-7", Clean: true},
	}
}

func TestJudgeKeepsAllOfAGoodRun(t *testing.T) {
	is := is.New(t)
	for _, p := range Judge(good()) {
		if !p.Kept {
			t.Errorf("%s: %s", p.Name, p.Seen)
		}
		is.True(p.Checked > 0)
	}
}

func TestJudgeSeesEachBreach(t *testing.T) {
	tests := map[string]struct {
		spoil  func(o *Observed)
		breaks string
	}{
		"rise over the cap":     {spoil: func(o *Observed) { o.Rises[0].Greatest = 5.1 }, breaks: "a shift toward a region stays under its cap"},
		"no rise looked at":     {spoil: func(o *Observed) { o.Rises = nil }, breaks: "a shift toward a region stays under its cap"},
		"more than slots":       {spoil: func(o *Observed) { o.Peaks[0].Running = 4 }, breaks: "no backend server gets more requests than slots"},
		"overload":              {spoil: func(o *Observed) { o.Peaks[0].Overloads = 1 }, breaks: "no backend server gets more requests than slots"},
		"connection refused":    {spoil: func(o *Observed) { o.Peaks[0].Refused = 1 }, breaks: "no backend server gets more requests than slots"},
		"no server used":        {spoil: func(o *Observed) { o.Peaks[0].Running = 0 }, breaks: "no backend server gets more requests than slots"},
		"link over its budget":  {spoil: func(o *Observed) { o.Links[0].Peak = 11 }, breaks: "no link carries more than entries may send"},
		"another's answer":      {spoil: func(o *Observed) { o.Attempts[0].Own = false }, breaks: "callers get the whole answer to their own request"},
		"replay of another":     {spoil: func(o *Observed) { o.Attempts[2].Own = false }, breaks: "callers get the whole answer to their own request"},
		"told not run, did run": {spoil: func(o *Observed) { o.Ran["r-2.1"] = Ran{Count: 1} }, breaks: "what is told not run was not run"},
		"nothing told not run":  {spoil: func(o *Observed) { o.Attempts[3].Ran = result.Unknown }, breaks: "what is told not run was not run"},
		"resend executed":       {spoil: func(o *Observed) { o.Ran["c-1.5"] = Ran{Count: 1} }, breaks: "once-only requests are executed at most once"},
		"executed twice":        {spoil: func(o *Observed) { o.Ran["c-1.1"] = Ran{Count: 2} }, breaks: "once-only requests are executed at most once"},
		"late work":             {spoil: func(o *Observed) { o.Late = []string{"r-9.1"} }, breaks: "a leaving backend server gets no new work after 3 s"},
		"nobody looked":         {spoil: func(o *Observed) { o.LateLooked = false }, breaks: "a leaving backend server gets no new work after 3 s"},
		"upload cut":            {spoil: func(o *Observed) { o.Uploads[0].Whole = false }, breaks: "a planned stop cuts no running request"},
		"upload too short":      {spoil: func(o *Observed) { o.Uploads[0].Outlasted = false }, breaks: "a planned stop cuts no running request"},
		"stop not clean":        {spoil: func(o *Observed) { o.Stopped.Clean = false }, breaks: "a planned stop cuts no running request"},
		"request cut":           {spoil: func(o *Observed) { o.Attempts[4].Ran, o.Attempts[4].Code = result.Unknown, 0 }, breaks: "a planned stop cuts no running request"},
		"nothing during a stop": {spoil: func(o *Observed) { o.Attempts[4].Planned = false }, breaks: "a planned stop cuts no running request"},
		"version falls":         {spoil: func(o *Observed) { o.Attempts[2].Version = 1 }, breaks: "an accepted configuration is in force everywhere within seconds and never reverts"},
		"version not reached":   {spoil: func(o *Observed) { o.Versions[1].Reached = false }, breaks: "an accepted configuration is in force everywhere within seconds and never reverts"},
		"version late":          {spoil: func(o *Observed) { o.Versions[1].Everywhere = 11 }, breaks: "an accepted configuration is in force everywhere within seconds and never reverts"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := good()
			tt.spoil(o)
			for _, p := range Judge(o) {
				is.Equal(!p.Kept, p.Name == tt.breaks) // just this one is broken
			}
		})
	}
}

func TestJudgeServed(t *testing.T) {
	is := is.New(t)
	served := Latency{Sent: 3, Percentiles: openloop.Percentiles{Count: 3}}
	is.True(judgeServed([]Latency{served}).Kept)
	is.True(!judgeServed([]Latency{served, {Sent: 3, Failed: 1}}).Kept)
	is.True(!judgeServed(nil).Kept)
}

func TestGreatestRise(t *testing.T) {
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
		"none":        {},
		"from rest":   {times: at(0, 0.5, 1, 1.5), want: 2},
		"steady":      {times: at(0, 1, 2, 3, 4, 5, 6, 7), want: 1},
		"later burst": {times: at(0, 1, 2, 3, 4, 4.1, 4.2, 4.3), want: 1.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(greatestRise(tt.times, 2*time.Second), tt.want)
		})
	}
}

func TestOwn(t *testing.T) {
	read := &request{name: "r-1", class: &service.Class{Kind: service.Read}, size: 4}
	once := &request{name: "c-1", class: &service.Class{Kind: service.Once}, size: 4}
	tests := map[string]struct {
		text   string
		of     *request
		id     string
		server id.Server
		want   bool
	}{
		"own":                {text: "r-1.1 s-1 4\n", of: read, id: "r-1.1", server: "s-1", want: true},
		"another request":    {text: "r-2.1 s-1 4\n", of: read, id: "r-1.1", server: "s-1"},
		"another attempt":    {text: "r-1.2 s-1 4\n", of: read, id: "r-1.1", server: "s-1"},
		"another server":     {text: "r-1.1 s-2 4\n", of: read, id: "r-1.1", server: "s-1"},
		"cut":                {text: "r-1.1 s-1", of: read, id: "r-1.1", server: "s-1"},
		"cut body":           {text: "r-1.1 s-1 3\n", of: read, id: "r-1.1", server: "s-1"},
		"replay":             {text: "c-1.1 s-1 4\n", of: once, id: "c-1.5", server: "s-1", want: true},
		"replay of another":  {text: "c-12.1 s-1 4\n", of: once, id: "c-1.5", server: "s-1"},
		"empty":              {of: read, id: "r-1.1"},
		"server not in head": {text: "r-1.1 s-1 4\n", of: read, id: "r-1.1", want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(own(tt.text, tt.of, &Attempt{ID: tt.id, Server: tt.server}), tt.want)
		})
	}
}

func TestCallerChoosesByWeight(t *testing.T) {
	is := is.New(t)
	c := newTestCallers()
	entries := []lookup.Entry{{Instance: "a", Weight: 3}, {Instance: "b", Weight: 1}, {Instance: "c"}}
	counts := map[id.Instance]int{}
	for range 4000 {
		e, ok := c.weighted(entries)
		is.True(ok)
		counts[e.Instance]++
	}
	is.True(counts["a"] > 2800 && counts["a"] < 3200)
	is.Equal(counts["c"], 0)
	_, ok := c.weighted(entries[2:])
	is.True(!ok)
}

func newTestCallers() *callers { return &callers{rng: rand.New(rand.NewPCG(1, 2))} }
