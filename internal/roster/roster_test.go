package roster_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	svc   = id.Service("registry")
	grace = 2400 * time.Millisecond
)

var start = time.Unix(1000, 0)

func newRoster() *roster.Roster {
	r := &roster.Roster{Grace: grace, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	r.Configure(map[id.Service]roster.ServiceConfig{svc: {ColdTime: 3 * time.Second, ColdRate: 30}})
	r.SetColdBound(roster.ColdBound{Overshoot: 1})
	r.SetEntries(entry(1), []netip.AddrPort{entry(2), entry(3), entry(4), entry(5), entry(6), entry(7)})
	return r
}

func entry(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 90)
}

func server(name id.Server) roster.Server {
	return roster.Server{Name: name, Service: svc, Address: "10.0.0.1:80", Zone: "a-1", Region: "a", Slots: 6, StartedAt: 1}
}

func names(r *roster.Roster) []id.Server {
	var out []id.Server
	for _, m := range r.View().Members(svc) {
		out = append(out, m.Name)
	}
	return out
}

func TestEligibleServers(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	tests := map[string]struct {
		do   func(r *roster.Roster)
		want []id.Server
	}{
		"all": {func(*roster.Roster) {}, []id.Server{"i-1", "i-2"}},
		"leaving": {func(r *roster.Roster) {
			s := server("i-1")
			s.Leaving = true
			r.Put(start, s)
		}, []id.Server{"i-2"}},
		"removed":              {func(r *roster.Roster) { r.Remove(start, "i-1") }, []id.Server{"i-2"}},
		"missing in a list":    {func(r *roster.Roster) { r.Replace(start, []roster.Server{server("i-2")}) }, []id.Server{"i-2"}},
		"zone evacuated":       {func(r *roster.Roster) { r.SetEvacuated(start, map[id.Zone]bool{"a-1": true}) }, nil},
		"other zone evacuated": {func(r *roster.Roster) { r.SetEvacuated(start, map[id.Zone]bool{"b-1": true}) }, []id.Server{"i-1", "i-2"}},
		"missing right after an outage": {func(r *roster.Roster) {
			r.StoreRecovered(start)
			r.Replace(start, nil)
			r.Step(at(grace - 1))
		}, []id.Server{"i-1", "i-2"}},
		"removed right after an outage, and back": {func(r *roster.Roster) {
			r.StoreRecovered(start)
			r.Remove(start, "i-1")
			r.Put(at(time.Second), server("i-1"))
			r.Step(at(time.Minute))
		}, []id.Server{"i-1", "i-2"}},
		"missing since an outage for longer than the grace period": {func(r *roster.Roster) {
			r.StoreRecovered(start)
			r.Replace(start, []roster.Server{server("i-2")})
			r.Step(at(grace))
		}, []id.Server{"i-2"}},
		"missing a grace period after the store's recovery": {func(r *roster.Roster) {
			r.StoreRecovered(start.Add(-grace)) // the store recovered a whole grace period before
			r.Replace(start, []roster.Server{server("i-2")})
		}, []id.Server{"i-2"}},
		"removed after the grace period": {func(r *roster.Roster) {
			r.StoreRecovered(start)
			r.Remove(at(grace), "i-1")
		}, []id.Server{"i-2"}},
		"was leaving before the outage": {func(r *roster.Roster) {
			s := server("i-1")
			s.Leaving = true
			r.Put(start, s)
			r.StoreRecovered(start)
			r.Replace(start, []roster.Server{server("i-2")})
		}, []id.Server{"i-2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			r.Replace(start.Add(-time.Minute), []roster.Server{server("i-2"), server("i-1")})
			tt.do(r)
			is.Equal(names(r), tt.want)
		})
	}
}

// begun returns the number of requests that a server accepts at one moment.
func begun(r *roster.Roster, now time.Time) int {
	n := 0
	for n < 100 && r.View().Members(svc)[0].Begin(now) {
		n++
	}
	return n
}

func TestColdServers(t *testing.T) {
	const share = 4 // 27 requests per second among seven entries: six get 4, and one gets 3
	fresh := func(r *roster.Roster) { r.Put(start, server("i-1")) }
	tests := map[string]struct {
		do   func(r *roster.Roster)
		at   time.Duration
		want int
	}{
		"warm": {fresh, 0, 100},
		"started cold": {func(r *roster.Roster) {
			s := server("i-1")
			s.Cold = 3 * time.Second
			r.Put(start, s)
		}, 0, share},
		"cold time over": {func(r *roster.Roster) {
			s := server("i-1")
			s.Cold = 3 * time.Second
			r.Put(start, s)
		}, 3 * time.Second, 100},
		"evacuation of its zone ended": {func(r *roster.Roster) {
			fresh(r)
			r.SetEvacuated(start, map[id.Zone]bool{"a-1": true})
			r.SetEvacuated(start, nil)
		}, 0, share},
		"reached again after failures": {func(r *roster.Roster) {
			fresh(r)
			for range 2 {
				m := r.View().Members(svc)[0]
				m.Begin(start)
				m.End(start, roster.Outcome{Event: health.ConnectFailed, Failed: true})
			}
			m := r.View().Members(svc)[0]
			m.Begin(start.Add(5 * time.Second))
			m.End(start.Add(5*time.Second), roster.Outcome{Event: health.Answered})
		}, 5 * time.Second, share},
		"another start under the same name": {func(r *roster.Roster) {
			s := server("i-1")
			s.Cold = 3 * time.Second
			r.Put(start, s)
			s.Cold, s.StartedAt = 0, 2
			r.Put(start, s)
		}, 0, 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			tt.do(r)
			is.Equal(begun(r, start.Add(tt.at)), tt.want)
		})
	}
}

// Logs must tell whether an entry held a server for cold, since when and why.
func TestColdServersAreLogged(t *testing.T) {
	is := is.New(t)
	var logged bytes.Buffer
	r := newRoster()
	r.Log = slog.New(slog.NewTextHandler(&logged, nil))
	s := server("i-1")
	s.Cold = 2 * time.Second
	r.Put(start, s)
	s.Sequence = 2
	r.Put(start.Add(time.Second), s)
	r.SetEvacuated(start.Add(time.Minute), map[id.Zone]bool{"a-1": true})
	r.SetEvacuated(start.Add(time.Minute), nil)
	r.SetEvacuated(start.Add(time.Minute), map[id.Zone]bool{"a-1": true})
	r.SetEvacuated(start.Add(time.Minute), nil)
	is.Equal(strings.Count(logged.String(), `msg="backend server cold" server=i-1 service=registry for=2s source=registration`), 1)
	is.Equal(strings.Count(logged.String(), `msg="backend server cold" server=i-1 service=registry for=3s source=evacuationEnded`), 1)
	is.Equal(strings.Count(logged.String(), `msg="backend server cold"`), 2)
}

func TestBusyCountsOtherEntries(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(start, server("i-1"))
	m := r.View().Members(svc)[0]
	m.Begin(start)
	m.Begin(start)
	is.Equal(m.EstimatedRequests(start), 2.0)
	// Six run and two wait, of which this entry has two.
	m.End(start, roster.Outcome{Event: health.Answered, Load: &roster.Load{Running: 6, Waiting: 2}})
	is.Equal(m.EstimatedRequests(start), 1.0+6.0)
	is.True(m.EstimatedRequests(start.Add(5*time.Second)) < 1.1) // the report has decayed
}

// The load of a server without reports is estimated from the reports of the other
// servers of its service.
func TestLoadEstimateWithoutReports(t *testing.T) {
	const work = 100 * time.Millisecond
	full := &roster.Load{Running: 6, Waiting: 6}
	tests := map[string]struct {
		outcome roster.Outcome
		at      time.Duration
		// busy and expected are the estimates for another server of the service; the
		// request that ended is not counted.
		busy     float64
		expected time.Duration
	}{
		"nothing is known":         {roster.Outcome{Event: health.Answered}, 0, 0, 0},
		"the others queue":         {roster.Outcome{Event: health.Answered, Load: full, Latency: 2 * work}, 0, 11, 183 * time.Millisecond},
		"the others have room":     {roster.Outcome{Event: health.Answered, Load: &roster.Load{Running: 3}, Latency: work}, 0, 2, work},
		"no recent answers":        {roster.Outcome{Event: health.Answered, Load: full, Latency: 2 * work}, 20 * time.Second, 0, work},
		"latency but no load":      {roster.Outcome{Event: health.Answered, Latency: work}, 0, 0, 0},
		"refused by a full server": {roster.Outcome{Event: health.Answered, Failed: true, Load: full}, 0, 11, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			r.Put(start, server("i-1"))
			r.Put(start, server("i-2"))
			members := r.View().Members(svc)
			members[0].Begin(start)
			members[0].End(start, tt.outcome)
			now := start.Add(tt.at)
			is.True(math.Abs(members[1].EstimatedRequests(now)-tt.busy) < 0.01)
			is.Equal(members[1].ExpectedLatency(now).Round(time.Millisecond), tt.expected)
		})
	}
}

// After a time-out, the server is assumed to have at least as many requests as take
// that long.
func TestTimeoutRaisesLoadEstimate(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(start, server("i-1"))
	m := r.View().Members(svc)[0]
	m.Begin(start)
	m.End(start, roster.Outcome{Event: health.Answered, Load: &roster.Load{}, Latency: 100 * time.Millisecond})
	m.Begin(start)
	m.End(start, roster.Outcome{Event: health.TimedOut, Latency: 300 * time.Millisecond})
	is.Equal(math.Round(m.EstimatedRequests(start)), 17.0) // 3 times 6 slots, minus the request that ended
}

func TestEntriesTogetherKeepColdRate(t *testing.T) {
	tests := map[string]struct {
		entries int
		rate    float64
		want    int
	}{
		"few entries":  {7, 30, 27},
		"many entries": {31, 16.7, 15},
		"one entry":    {1, 30, 27},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			total := 0
			for self := range tt.entries {
				r := newRoster()
				r.Configure(map[id.Service]roster.ServiceConfig{svc: {ColdTime: 3 * time.Second, ColdRate: tt.rate}})
				var others []netip.AddrPort
				for n := range tt.entries {
					if n != self {
						others = append(others, entry(byte(n)))
					}
				}
				r.SetEntries(entry(byte(self)), others)
				s := server("i-1")
				s.Cold = time.Second
				r.Put(start, s)
				total += begun(r, start)
			}
			is.Equal(total, tt.want)
		})
	}
}

// fail sends a request to a server whose connection attempt fails.
func fail(r *roster.Roster, i int, at time.Time) {
	m := r.View().Members(svc)[i]
	m.Begin(at)
	m.End(at, roster.Outcome{Event: health.ConnectFailed, Failed: true})
}

// A zone counts as unreachable after connection failures at three of its servers, and
// then gets no requests until a check succeeds or an earlier request is answered.
func TestUnreachableZone(t *testing.T) {
	lose := func(r *roster.Roster) {
		for i := range 3 {
			fail(r, i, start)
		}
	}
	check := func(r *roster.Roster, at time.Duration, ok bool) {
		for _, m := range r.DueChecks(start.Add(at)) {
			r.RecordCheck(start.Add(at), m, ok)
		}
	}
	tests := map[string]struct {
		do   func(r *roster.Roster)
		at   time.Duration
		want int // requests that the fifth server takes at once
	}{
		"two servers fail":                   {func(r *roster.Roster) { fail(r, 0, start); fail(r, 1, start) }, time.Second, 100},
		"three servers fail":                 {lose, time.Second, 0},
		"three servers failed some time ago": {lose, time.Minute, 0},
		"a check fails":                      {func(r *roster.Roster) { lose(r); check(r, time.Second, false) }, time.Second, 0},
		"a check succeeds":                   {func(r *roster.Roster) { lose(r); check(r, time.Second, true) }, time.Second, 100},
		"another answers": {func(r *roster.Roster) {
			lose(r)
			m := r.View().Members(svc)[3]
			m.End(start, roster.Outcome{Event: health.Answered})
		}, time.Second, 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			for _, name := range []id.Server{"i-1", "i-2", "i-3", "i-4", "i-5"} {
				r.Put(start, server(name))
			}
			tt.do(r)
			n := 0
			for n < 100 && r.View().Members(svc)[4].Begin(start.Add(tt.at)) {
				n++
			}
			is.Equal(n, tt.want)
		})
	}
}

// An entry that doesn't know yet how many entries share a cold server's rate sends it
// no requests.
func TestNoRequestsToColdServersBeforeEntriesAreKnown(t *testing.T) {
	is := is.New(t)
	r := &roster.Roster{Log: slog.New(slog.DiscardHandler)}
	r.Configure(map[id.Service]roster.ServiceConfig{svc: {ColdTime: 3 * time.Second, ColdRate: 30}})
	r.SetColdBound(roster.ColdBound{Overshoot: 1})
	s := server("i-1")
	s.Cold = time.Second
	r.Put(start, s)
	is.Equal(begun(r, start), 0)
	r.SetEntries(entry(1), nil)
	is.True(begun(r, start) > 0)
}

// Connection checks, not requests, detect that a server accepts connections again.
func TestConnectionChecks(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	for _, name := range []id.Server{"i-1", "i-2", "i-3", "i-4"} {
		r.Put(start, server(name))
	}
	is.Equal(len(r.DueChecks(start)), 0)
	fail(r, 0, start)
	is.Equal(len(r.DueChecks(start)), 0) // a single failure is tolerated
	fail(r, 0, start)
	first := r.View().Members(svc)[0]
	is.Equal(len(r.DueChecks(start.Add(500*time.Millisecond))), 0) // too soon
	at := start.Add(time.Second)
	is.True(!first.Ready(at))
	is.Equal(r.DueChecks(at), []*roster.Member{first})
	is.Equal(len(r.DueChecks(at)), 0) // a check is already running
	r.RecordCheck(at, first, false)
	is.Equal(len(r.DueChecks(at.Add(time.Second))), 0) // the interval has doubled
	at = at.Add(2 * time.Second)
	is.Equal(len(r.DueChecks(at)), 1)
	r.RecordCheck(at, first, true)
	is.True(first.Ready(at))
	is.True(first.Begin(at))
	is.True(!first.Begin(at)) // one trial at a time
	first.End(at, roster.Outcome{Event: health.Answered})
	is.True(first.Begin(at))
}

// When a zone becomes reachable again, all of its failed servers are checked at once.
func TestZoneRecoveryChecksFailedServers(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	for _, name := range []id.Server{"i-1", "i-2", "i-3", "i-4"} {
		r.Put(start, server(name))
	}
	for i := range 3 {
		fail(r, i, start)
		fail(r, i, start)
	}
	at := start.Add(200 * time.Millisecond)
	due := r.DueChecks(at)
	is.Equal(len(due), 1) // one server of the zone
	is.Equal(len(r.DueChecks(at.Add(100*time.Millisecond))), 0)
	r.RecordCheck(at, due[0], true)
	for i, m := range r.View().Members(svc) {
		is.Equal(m.Ready(at), i == 3 || m == due[0]) // the other failed servers are not eligible yet
	}
	is.True(len(r.DueChecks(at)) >= 2)
}

// Incremental changes result in the same view as a complete list.
func TestIncrementalViewEqualsFullView(t *testing.T) {
	names := func(r *roster.Roster) map[id.Service][]id.Server {
		out := map[id.Service][]id.Server{}
		for _, service := range []id.Service{svc, "other"} {
			for _, m := range r.View().Members(service) {
				out[service] = append(out[service], m.Name)
				if r.View().Member(service, m.Name) != m {
					t.Errorf("server %s is not found by its name", m.Name)
				}
			}
		}
		return out
	}
	rapid.Check(t, func(t *rapid.T) {
		r, whole := newRoster(), newRoster()
		known := map[id.Server]roster.Server{}
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			s := server(id.Server(fmt.Sprintf("i-%d", rapid.IntRange(0, 7).Draw(t, "server"))))
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0:
				delete(known, s.Name)
				r.Remove(start, s.Name)
				continue
			case 1:
				s.Leaving = true
			case 2:
				s.Service = "other"
			case 3:
				zones := map[id.Zone]bool{s.Zone: rapid.Bool().Draw(t, "evacuated")}
				r.SetEvacuated(start, zones)
				whole.SetEvacuated(start, zones)
			}
			known[s.Name] = s
			r.Put(start, s)
		}
		whole.Replace(start, slices.Collect(maps.Values(known)))
		is.New(t).Equal(names(r), names(whole))
	})
}

// A server that is cold and has named a limit gets the lower of the two rates.
func TestColdServerWithLimit(t *testing.T) {
	tests := map[string]struct {
		coldRate float64
		limit    unit.Rate
		want     int // at once
	}{
		"cold rate is lower": {10, 40, 9},
		"limit is lower":     {40, 2.5, 9},
		"no limit":           {40, 0, 36},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &roster.Roster{Log: slog.New(slog.DiscardHandler)}
			r.Configure(map[id.Service]roster.ServiceConfig{svc: {ColdTime: 3 * time.Second, ColdRate: tt.coldRate}})
			r.SetColdBound(roster.ColdBound{Overshoot: 1})
			r.SetEntries(entry(1), nil)
			s := server("i-1")
			s.Cold = time.Second
			r.Put(start, s)
			r.View().Members(svc)[0].ObserveLimit(start, tt.limit, "r")
			is.Equal(begun(r, start), tt.want)
		})
	}
}

// A server whose open connections live on while new ones are refused counts as missed: its
// answers must not hide that the links are cut.
func TestServersWithOldConnectionsOnlyAreMissed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newRoster()
	r.Put(now, server("i-1"))
	m := r.View().Members("registry")[0]
	is.True(!m.Missed(now))
	is.True(m.Begin(now))
	is.True(m.Begin(now))
	m.End(now, roster.Outcome{Event: health.ConnectFailed, Failed: true})
	now = now.Add(100 * time.Millisecond)
	m.End(now, roster.Outcome{Event: health.Answered})
	is.True(m.Reachable())
	is.True(m.Missed(now))
	is.True(!m.Missed(now.Add(3 * time.Second))) // a new try is due
	r.RecordCheck(now, m, true)
	is.True(!m.Missed(now))
	r.RecordEnd(now, m)
	is.True(m.Missed(now))
}
