package membership_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/config"
	"github.com/shallotpier/shallotpier/internal/instances"
	"github.com/shallotpier/shallotpier/internal/lookup"
	"github.com/shallotpier/shallotpier/internal/membership"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/peers"
	"github.com/shallotpier/shallotpier/internal/standin/platform"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const entries = 7

type (
	process struct {
		node  *peers.Node
		table *membership.Table
		end   context.CancelFunc
		own   membership.Own
	}

	fleet struct {
		network   peers.Network
		instances platform.Instances
		processes [entries]*process
	}
)

func name(i int) id.Instance { return id.Instance(fmt.Sprintf("entry-%d", i+1)) }

func start(ctx context.Context) *fleet {
	f := new(fleet)
	for i := range entries {
		f.instances.Set(instances.Instance{Name: name(i), State: instances.Live, Started: time.Now()})
		f.start(ctx, i, 1)
	}
	return f
}

func (f *fleet) start(ctx context.Context, i int, incarnation id.Incarnation) {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{
		node: f.network.Node(peer.Sender{Instance: name(i), Incarnation: incarnation}), end: cancel,
		table: &membership.Table{Self: name(i)}, own: membership.Own{Config: config.Ref{Version: 1}},
	}
	h := &membership.Heartbeat{
		Table: p.table, Incarnation: incarnation, Peers: p.node, Own: func() membership.Own { return p.own },
		Instances: &f.instances, Rand: rand.New(rand.NewPCG(uint64(i), uint64(incarnation))), Log: slog.New(slog.DiscardHandler),
	}
	for j := range entries {
		if j != i {
			h.Entries = append(h.Entries, name(j))
		}
	}
	h.Register(p.node)
	f.processes[i] = p
	go func() { _ = h.Run(ctx) }()
}

// state returns the state of entry j in the table of entry i.
func (f *fleet) state(i, j int) lookup.State {
	m := f.processes[i].table.Member(name(j), time.Now())
	return m.Lookup()
}

// count returns the number of pairs of entries (i, j) selected by pick for
// which entry j has the state want in the table of entry i.
func (f *fleet) count(want lookup.State, pick func(i, j int) bool) int {
	n := 0
	for i := range entries {
		for j := range entries {
			if i != j && pick(i, j) && f.state(i, j) == want {
				n++
			}
		}
	}
	return n
}

func all(int, int) bool { return true }

func runFleet(t *testing.T, test func(is *is.I, ctx context.Context, f *fleet)) {
	simclock.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := start(ctx)
		time.Sleep(5 * time.Second)
		test(is.New(t), ctx, f)
		cancel()
		for _, p := range f.processes {
			p.node.Resume()
		}
		synctest.Wait()
	})
}

// TestMessageLossAndShortPausesMarkNoEntryDown loses 10% of the messages and
// 10% of the answers, and pauses one entry at a time for 1 s every 5 s.
func TestMessageLossAndShortPausesMarkNoEntryDown(t *testing.T) {
	runFleet(t, func(is *is.I, _ context.Context, f *fleet) {
		r, pick := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(1, 2))
		f.network.SetHook(func(peers.Message) peers.Delivery {
			return peers.Delivery{Lost: r.IntN(10) == 0, AnswerLost: r.IntN(10) == 0, Delay: 12 * time.Millisecond}
		})
		for started := time.Now(); time.Since(started) < 40*time.Second; {
			i := pick.IntN(entries)
			f.processes[i].node.Pause()
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				is.Equal(f.count(lookup.Down, all), 0)
			}
			f.processes[i].node.Resume()
			for range 80 {
				time.Sleep(50 * time.Millisecond)
				is.Equal(f.count(lookup.Down, all), 0)
			}
		}
	})
}

func TestStoppedEntryIsDownEverywhereWithin3Seconds(t *testing.T) {
	runFleet(t, func(is *is.I, ctx context.Context, f *fleet) {
		r, wait := rand.New(rand.NewPCG(2, 1)), rand.New(rand.NewPCG(2, 2))
		f.network.SetHook(func(peers.Message) peers.Delivery {
			return peers.Delivery{Lost: r.IntN(5) == 0, Delay: 12 * time.Millisecond}
		})
		for round := range 4 {
			time.Sleep(time.Duration(wait.Int64N(int64(time.Second))))
			i := round % entries
			f.processes[i].end()
			f.network.Remove(name(i))
			time.Sleep(3 * time.Second)
			is.Equal(f.count(lookup.Down, func(a, b int) bool { return b == i && a != i }), entries-1)
			is.Equal(f.count(lookup.Down, func(a, b int) bool { return b != i && a != i }), 0)
			f.start(ctx, i, id.Incarnation(round+2))
			time.Sleep(3 * time.Second)
			is.Equal(f.count(lookup.Live, all), entries*(entries-1))
		}
	})
}

func TestPausedEntryIsLiveAgainAfterResume(t *testing.T) {
	runFleet(t, func(is *is.I, _ context.Context, f *fleet) {
		f.processes[2].node.Pause()
		time.Sleep(20 * time.Second)
		is.Equal(f.count(lookup.Down, func(_, b int) bool { return b == 2 }), entries-1)
		f.processes[2].node.Resume()
		time.Sleep(2 * time.Second)
		is.Equal(f.count(lookup.Live, all), entries*(entries-1))
	})
}

func TestOneWayLossBetweenTwoEntriesKeepsBothLive(t *testing.T) {
	runFleet(t, func(is *is.I, _ context.Context, f *fleet) {
		// entry-2 receives nothing from entry-1; entry-1 receives from entry-2.
		f.network.SetHook(func(m peers.Message) peers.Delivery {
			return peers.Delivery{Lost: m.From == name(0) && m.To == name(1), AnswerLost: m.From == name(1) && m.To == name(0)}
		})
		time.Sleep(20 * time.Second)
		is.Equal(f.count(lookup.Live, all), entries*(entries-1)) // relayed reports keep both live
		first := f.processes[0].table.Member(name(1), time.Now())
		second := f.processes[1].table.Member(name(0), time.Now())
		is.True(first.Direct && !first.Mutual) // entry-2 is received, but doesn't receive entry-1
		is.True(second.Alive && !second.Direct && !second.Mutual)
		f.network.SetHook(nil)
		time.Sleep(2 * time.Second)
		first = f.processes[0].table.Member(name(1), time.Now())
		is.True(first.Mutual)
	})
}

func TestPartitionMarksOtherSideDown(t *testing.T) {
	runFleet(t, func(is *is.I, _ context.Context, f *fleet) {
		side := func(i id.Instance) bool { return i <= name(2) }
		f.network.SetHook(func(m peers.Message) peers.Delivery { return peers.Delivery{Lost: side(m.From) != side(m.To)} })
		time.Sleep(20 * time.Second)
		across := func(a, b int) bool { return side(name(a)) != side(name(b)) }
		within := func(a, b int) bool { return !across(a, b) }
		is.Equal(f.count(lookup.Down, across), 2*3*4)
		is.Equal(f.count(lookup.Live, within), 3*2+4*3)
		f.network.SetHook(nil)
		time.Sleep(2 * time.Second)
		is.Equal(f.count(lookup.Live, all), entries*(entries-1))
	})
}

func TestTableApply(t *testing.T) {
	now := time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)
	beat := func(i id.Incarnation, version id.Version) *membership.Beat {
		return &membership.Beat{Instance: "entry-2", Incarnation: i, Own: membership.Own{Config: config.Ref{Version: version}}}
	}
	tests := map[string]struct {
		give    []*membership.Beat
		listed  instances.State
		after   time.Duration
		version id.Version
		want    lookup.State
	}{
		"no heartbeat, within Timeout":           {want: lookup.Doubtful},
		"no heartbeat":                           {after: 3 * time.Second, want: lookup.Down},
		"heartbeat received":                     {give: []*membership.Beat{beat(1, 4)}, version: 4, want: lookup.Live},
		"without a configuration":                {give: []*membership.Beat{beat(1, 0)}, want: lookup.Doubtful},
		"starting":                               {give: []*membership.Beat{{Instance: "entry-2", Incarnation: 1, Own: membership.Own{Config: config.Ref{Version: 4}, Starting: true}}}, version: 4, want: lookup.Doubtful},
		"replaced":                               {give: []*membership.Beat{beat(1, 4), beat(2, 5)}, version: 5, want: lookup.Live},
		"late heartbeat of the replaced process": {give: []*membership.Beat{beat(2, 5), beat(1, 4)}, version: 5, want: lookup.Live},
		"silent":                                 {give: []*membership.Beat{beat(1, 4)}, after: 2500 * time.Millisecond, version: 4, want: lookup.Down},
		"listed as leaving":                      {give: []*membership.Beat{beat(1, 4)}, listed: instances.Leaving, version: 4, want: lookup.Leaving},
		"listed as gone, heartbeat received":     {give: []*membership.Beat{beat(1, 4)}, listed: instances.Gone, version: 4, want: lookup.Doubtful},
		"listed as live, silent":                 {give: []*membership.Beat{beat(1, 4)}, listed: instances.Live, after: time.Minute, version: 4, want: lookup.Down},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := membership.Table{Self: "entry-1"}
			table.Tick(now)
			for _, b := range tt.give {
				table.Apply(now, b, false, 0)
			}
			if tt.listed != "" {
				table.ApplyList([]instances.Instance{{Name: "entry-2", State: tt.listed}})
			}
			m := table.Member("entry-2", now.Add(tt.after))
			is.Equal(m.Lookup(), tt.want)
			is.Equal(m.Own.Config.Version, tt.version)
		})
	}
}

func TestPauseOfThisProcessDoesNotCountAsSilence(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)
	table := membership.Table{Self: "entry-1"}
	table.Tick(now)
	table.Apply(now, &membership.Beat{Instance: "entry-2", Incarnation: 1, Own: membership.Own{Config: config.Ref{Version: 1}}}, false, 0)
	now = now.Add(time.Hour) // the process did not run
	table.Tick(now)
	m := table.Member("entry-2", now)
	is.Equal(m.Lookup(), lookup.Live)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		table.Tick(now)
	}
	m = table.Member("entry-2", now)
	is.Equal(m.Lookup(), lookup.Down)
}

func TestHeartbeatToListsOnlyReceiver(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, b := &membership.Table{Self: "a"}, &membership.Table{Self: "b"}
	for _, name := range []id.Instance{"b", "c", "d"} {
		a.Apply(now, &membership.Beat{Instance: name, Incarnation: 3}, false, 0)
	}
	beat := a.HeartbeatTo("b", now, 1, membership.Own{})
	is.Equal(len(beat.Observed), 1)
	is.Equal(beat.Observed[0].Instance, id.Instance("b"))
	is.Equal(len(a.Answer(now, 1, membership.Own{}).Observed), 3)

	is.True(b.Apply(now, &beat, false, 0))
	m := b.Member("a", now)
	is.True(m.Mutual) // a reported that it receives the heartbeats of b
	late := now.Add(membership.Timeout)
	is.Equal(len(a.HeartbeatTo("b", late, 1, membership.Own{}).Observed), 0)
}
