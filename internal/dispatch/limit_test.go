package dispatch_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/standin/ratecheck"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// simStep is the resolution of a simulation's time.
	simStep = time.Millisecond
	// settling is the time after which a named limit must be kept.
	settling = 3 * time.Second
	// simObjects is the number of objects that requests concern.
	simObjects = 500
	// exchangeInterval is the time between two reports of an entry to the others, with
	// at most maxReports limits each.
	exchangeInterval = 500 * time.Millisecond
	maxReports       = 6
	// limitStart is when the servers of a simulation first name limits.
	limitStart = 2 * time.Second
)

type (
	// limitSim simulates entries that share servers, some of which name limits.
	limitSim struct {
		rng     *rand.Rand
		entries []*dispatch.Dispatcher
		limits  map[id.Server]unit.Rate
		record  ratecheck.Record
		// pending holds what happens at the end of requests, by step.
		pending map[int64][]func(now time.Time)
		// refused counts the requests for which no server was chosen.
		refused, requests int
		// exchange makes the entries report limits to each other.
		exchange bool
	}
)

func newLimitSim(seed uint64, entries, servers int) *limitSim {
	s := &limitSim{rng: rand.New(rand.NewPCG(seed, 1)), limits: make(map[id.Server]unit.Rate), pending: make(map[int64][]func(time.Time))}
	for i := range entries {
		r := &roster.Roster{Log: slog.New(slog.DiscardHandler)}
		for k := range servers {
			r.Put(start, roster.Server{Name: simServer(k), Service: svc, Address: "10.0.0.1:80", Slots: 9})
		}
		var others []netip.AddrPort
		for k := range entries {
			if k != i {
				others = append(others, simEntry(k))
			}
		}
		r.SetEntries(simEntry(i), others)
		s.entries = append(s.entries, &dispatch.Dispatcher{Roster: r})
	}
	return s
}

func simServer(k int) id.Server { return id.Server(fmt.Sprintf("i-%d", k)) }

func simEntry(k int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(k / 200), byte(1 + k%200)}), 90)
}

// run sends requests at a rate, to each entry by its weight, for a time.
func (s *limitSim) run(from, length time.Duration, rate float64, weight func(entry int) float64) {
	total := 0.0
	for i := range s.entries {
		total += weight(i)
	}
	for at := from; at < from+length; at += simStep {
		now := start.Add(at)
		for _, end := range s.pending[int64(at/simStep)] {
			end(now)
		}
		delete(s.pending, int64(at/simStep))
		if s.exchange && at%exchangeInterval == 0 {
			s.report(now)
		}
		for i, d := range s.entries {
			if s.rng.Float64() < rate*weight(i)/total*simStep.Seconds() {
				s.send(at, i, d)
			}
		}
	}
}

// report applies the reports of all entries at all others.
func (s *limitSim) report(now time.Time) {
	for _, from := range s.entries {
		for _, r := range from.Roster.Limits().Reports(now, uint64(now.Sub(start)/exchangeInterval), maxReports) {
			for _, to := range s.entries {
				if err := to.Roster.Limits().Apply(now, &r, "entry"); err != nil {
					panic(err)
				}
			}
		}
	}
}

func (s *limitSim) send(at time.Duration, entry int, d *dispatch.Dispatcher) {
	now, name := start.Add(at), id.Instance(fmt.Sprintf("entry-%d", entry))
	s.requests++
	m := d.Choose(now, request(service.Read, s.rng.Uint64N(simObjects))).Server
	if m == nil {
		s.refused++
		return
	}
	s.record.Arrive(m.Name, name, now)
	took := 100*time.Millisecond + time.Duration(s.rng.Int64N(int64(300*time.Millisecond)))
	step := int64((at + took) / simStep)
	s.pending[step] = append(s.pending[step], func(now time.Time) {
		limit := s.limits[m.Name]
		m.ObserveLimit(now, limit, "r")
		if limit > 0 {
			s.record.PassOn(m.Name, name, now)
		}
		m.End(now, roster.Outcome{Event: health.Answered, Latency: took})
	})
}

// setLimit makes a server name a limit from now on, 0 for none.
func (s *limitSim) setLimit(server id.Server, at time.Duration, rate unit.Rate) {
	s.limits[server] = rate
	s.record.Name(server, start.Add(at), rate)
}

func even(int) float64 { return 1 }

// uneven gives the first entry half of all requests.
func uneven(entry int) float64 {
	if entry == 0 {
		return 100
	}
	return 1
}

// All entries together must keep to the limit that a server names in its answers.
func TestEntriesTogetherKeepServerLimits(t *testing.T) {
	for _, entries := range []int{1, 7, 31, 100} {
		for _, rate := range []unit.Rate{0.1, 0.4, 2.5, 5.7, 40} {
			for name, weight := range map[string]func(int) float64{"even": even, "uneven": uneven} {
				t.Run(fmt.Sprintf("%d entries, %g a second, %s", entries, float64(rate), name), func(t *testing.T) {
					t.Parallel()
					s := newLimitSim(uint64(entries), entries, 12)
					s.run(0, limitStart, 800, weight)
					s.setLimit("i-3", limitStart, rate)
					s.setLimit("i-4", limitStart, rate/2)
					s.run(limitStart, 15*time.Second, 800, weight)
					for _, v := range s.record.Violations(settling) {
						t.Error(v)
					}
				})
			}
		}
	}
}

// A limit that falls, rises, ends and is named again must be kept at each time.
func TestEntriesFollowChangesOfServerLimits(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newLimitSim(seed, 7, 12)
			at := limitStart
			s.run(0, at, 400, even)
			for _, rate := range []unit.Rate{20, 2, 8, 0, 3} {
				s.setLimit("i-3", at, rate)
				s.run(at, 9*time.Second, 400, even)
				at += 9 * time.Second
			}
			for _, v := range s.record.Violations(settling) {
				t.Error(v)
			}
		})
	}
}

// Entries must use most of what a server takes, although their shares are fixed.
func TestEntriesUseServerLimits(t *testing.T) {
	for _, entries := range []int{1, 7, 31, 100} {
		for _, rate := range []unit.Rate{0.4, 2.5, 5.7, 20} {
			t.Run(fmt.Sprintf("%d entries, %g a second", entries, float64(rate)), func(t *testing.T) {
				t.Parallel()
				const length = 40 * time.Second
				s := newLimitSim(uint64(entries), entries, 12)
				s.exchange = true
				s.run(0, limitStart, 800, even)
				s.setLimit("i-3", limitStart, rate)
				s.run(limitStart, length, 800, even)
				got := s.record.Count("i-3", start.Add(limitStart+settling), start.Add(limitStart+length))
				used := float64(got) / (length - settling).Seconds() / float64(rate)
				t.Logf("%.0f%% of the limit used, %d of %d requests refused", 100*used, s.refused, s.requests)
				if used < 0.5 {
					t.Errorf("%.0f%% of the limit used, want half or more", 100*used)
				}
				for _, v := range s.record.Violations(settling) {
					t.Error(v)
				}
			})
		}
	}
}

// Entries without a share of a limit must learn that it has ended.
func TestAllEntriesLearnEndOfServerLimit(t *testing.T) {
	for _, rate := range []unit.Rate{0.1, 2.5} {
		t.Run(fmt.Sprint(float64(rate)), func(t *testing.T) {
			is := is.New(t)
			s := newLimitSim(1, 31, 12)
			s.exchange = true
			s.setLimit("i-3", 0, rate)
			s.run(0, 20*time.Second, 200, even)
			s.setLimit("i-3", 20*time.Second, 0)
			const learned = 20*time.Second + 15*time.Second
			s.run(20*time.Second, learned-20*time.Second, 200, even)
			for _, d := range s.entries {
				is.Equal(d.Roster.View().Member(svc, "i-3").Limit(start.Add(learned)), unit.Rate(0))
			}
		})
	}
}

// A request whose owner gets no more of it goes to the next server in the ranking, at all
// entries to the same one, and not into a queue.
func TestNextServerTakesOverFromLimitedOwner(t *testing.T) {
	is := is.New(t)
	d := newDispatcher()
	d.Roster.SetEntries(simEntry(0), []netip.AddrPort{simEntry(1)})
	owner := choose(d, request(service.Read, 1))
	owner.ObserveLimit(start, 2.5, "r")
	for d.Choose(start, request(service.Read, 1)).Limited == nil {
	}
	c := d.Choose(start, request(service.Read, 1))
	is.Equal(c.Limited.Name, owner.Name)
	is.Equal(c.Reason, dispatch.Owner)
	other := newDispatcher()
	other.Roster.SetEntries(simEntry(1), []netip.AddrPort{simEntry(0)})
	tried := request(service.Read, 1)
	tried.Tried = []id.Server{owner.Name}
	is.Equal(c.Server.Name, choose(other, tried).Name)
}

// If limits keep all servers from being eligible, the request is refused at once, with the
// time at which the first of them may get a request.
func TestAllServersLimited(t *testing.T) {
	is := is.New(t)
	d := newDispatcher()
	d.Roster.SetEntries(simEntry(0), nil)
	for _, m := range d.Roster.All() {
		m.ObserveLimit(start, 2.5, "r")
	}
	sent := 0
	for ; sent < 1000; sent++ {
		if d.Choose(start, request(service.Read, uint64(sent))).Server == nil {
			break
		}
	}
	is.Equal(sent, 20*9) // each of 20 servers gets three seconds' requests and two more at once
	c := d.Choose(start, request(service.Read, 1))
	is.Equal(c.Reason, dispatch.Limited)
	is.Equal(c.Next, start.Add(3600*time.Millisecond))
	is.True(d.Choose(c.Next, request(service.Read, 1)).Server != nil)
}
