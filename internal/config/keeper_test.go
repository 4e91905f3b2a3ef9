package config_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/config"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/publish"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/peers"
	"github.com/shallotpier/shallotpier/internal/standin/platform"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	entries      = 7
	publications = 30
)

// fleet is seven entries whose heartbeats contain the version held.
type fleet struct {
	t     *testing.T
	store *platform.Store
	net   *peers.Network
	names []id.Instance
	nodes map[id.Instance]*node
	beat  time.Duration
}

type node struct {
	*config.Keeper
	node *peers.Node
	stop func()
	held []id.Version
	at   map[id.Version]time.Time
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: new(platform.Store), net: new(peers.Network), nodes: map[id.Instance]*node{}, beat: time.Second}
	for i := range entries {
		f.names = append(f.names, id.Instance(fmt.Sprint("entry-", i)))
	}
	return f
}

func (f *fleet) start(name id.Instance) *node {
	n := &node{at: map[id.Version]time.Time{}}
	n.node = f.net.Node(peer.Sender{Instance: name, Incarnation: 1})
	others := slices.DeleteFunc(slices.Clone(f.names), func(o id.Instance) bool { return o == name })
	n.Keeper = &config.Keeper{Store: &platform.Client{Store: f.store, Name: string(name)}, Caller: n.node,
		Peers: func() []id.Instance { return slices.Clone(others) }, Log: slog.New(slog.DiscardHandler)}
	n.OnChange(func(t *config.Table) {
		n.held = append(n.held, t.Version())
		n.at[t.Version()] = time.Now()
	})
	n.node.Register(config.FetchMethod, n.HandleFetch)
	n.node.Register("beat", func(_ context.Context, from peer.Sender, params json) (any, error) {
		var ref config.Ref
		if err := decode(params, &ref); err != nil {
			return nil, err
		}
		n.Observe(from.Instance, ref)
		return nil, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.Run(ctx) })
	for _, to := range others {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = n.node.Call(ctx, to, "beat", n.Current().Ref(), nil)
				select {
				case <-time.After(f.beat*4/5 + rand.N(f.beat*2/5)):
				case <-ctx.Done():
				}
			}
		})
	}
	n.stop = func() {
		n.node.Resume()
		cancel()
		wg.Wait()
		f.net.Remove(name)
	}
	f.nodes[name] = n
	return n
}

func (f *fleet) startAll() {
	for _, name := range f.names {
		f.start(name)
	}
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.stop()
	}
}

func (f *fleet) publish(slots int) id.Version {
	p := &publish.Publisher{Store: f.store, Author: "nino"}
	files := file("registry", slots)
	d, out := p.Prepare(f.t.Context(), publish.Submission{Files: files})
	if out != nil {
		f.t.Fatal(out)
	}
	if out = p.Submit(f.t.Context(), d); out.Code != result.Accepted {
		f.t.Fatal(out)
	}
	return out.Ticket.Version
}

// verify checks that no entry's version ever decreased and that all are ready and
// hold v.
func (f *fleet) verify(v id.Version) {
	f.t.Helper()
	synctest.Wait()
	is := is.New(f.t)
	for name, n := range f.nodes {
		is.True(slices.IsSorted(n.held)) // versions never decrease
		if n.Current().Version() != v || !n.Ready() {
			f.t.Errorf("%s holds %d, want %d", name, n.Current().Version(), v)
		}
	}
}

func withFleet(t *testing.T, test func(f *fleet)) {
	simclock.Test(t, func(t *testing.T) {
		f := newFleet(t)
		time.Sleep(time.Hour)
		test(f)
		f.stopAll()
	})
}

func TestPublicationIsActiveAtAllEntriesWithinSeconds(t *testing.T) {
	tests := map[string]struct {
		noStore int // number of entries that can't reach the store
	}{
		"all reach the store":   {0},
		"one reaches the store": {entries - 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.store.SetHook(func(c platform.Call) platform.Fault {
					for i := range test.noStore {
						if c.From == string(f.names[i]) {
							return platform.Fault{Down: true}
						}
					}
					return platform.Fault{Delay: unit.Duration(40 * time.Millisecond)}
				})
				f.net.SetHook(func(peers.Message) peers.Delivery { return peers.Delivery{Delay: 20 * time.Millisecond} })
				f.publish(1)
				f.startAll()
				time.Sleep(time.Minute)
				var last []time.Duration
				for i := range publications {
					v := f.publish(i + 2)
					accepted := time.Now()
					time.Sleep(time.Duration(5000+i*37) * time.Millisecond)
					synctest.Wait()
					slowest := time.Duration(0)
					for _, n := range f.nodes {
						slowest = max(slowest, n.at[v].Sub(accepted))
					}
					last = append(last, slowest)
					f.verify(v)
				}
				slices.Sort(last)
				t.Logf("time from acceptance to activation at the last of %d entries: p50 %v, longest %v", entries, last[publications/2], last[publications-1])
				is.New(t).True(last[publications-1] < 2*time.Second)
			})
		})
	}
}

func TestVersionNeverDecreases(t *testing.T) {
	tests := map[string]func(f *fleet){
		"store returns an older state": func(f *fleet) {
			f.store.SetFault(platform.Fault{Stale: unit.Duration(30 * time.Second)})
			time.Sleep(10 * time.Second)
			f.store.SetFault(platform.Fault{})
		},
		"store down for hours": func(f *fleet) {
			f.stopAll()
			f.beat = time.Minute
			f.startAll()
			time.Sleep(5 * time.Second)
			f.store.SetFault(platform.Fault{Down: true})
			time.Sleep(3 * time.Hour)
			f.store.SetFault(platform.Fault{})
		},
		"object removed by hand": func(f *fleet) {
			o, _ := f.store.Get(f.t.Context(), publish.CurrentKey)
			_ = f.store.Delete(f.t.Context(), publish.CurrentKey, ifVersion(o))
			time.Sleep(time.Minute)
		},
		"slow peer with an old version": func(f *fleet) {
			n := f.nodes["entry-3"]
			n.node.Pause()
			f.publish(20)
			time.Sleep(10 * time.Second)
			n.node.Resume()
		},
		"all restarted": func(f *fleet) {
			for _, name := range f.names {
				f.nodes[name].stop()
				f.start(name)
				time.Sleep(time.Second)
			}
		},
		"all restarted at once": func(f *fleet) {
			f.stopAll()
			f.startAll()
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.publish(1)
				f.startAll()
				time.Sleep(20 * time.Second)
				v := f.publish(2)
				time.Sleep(5 * time.Second)
				f.verify(v)
				fault(f)
				for _, n := range f.nodes {
					is.New(t).True(n.Current() == nil || n.Current().Version() >= v)
				}
				time.Sleep(20 * time.Second)
				v = f.publish(3)
				time.Sleep(10 * time.Second)
				f.verify(v)
			})
		})
	}
}

func TestStartingEntryFetchesFromPeersWithTheStoreDown(t *testing.T) {
	withFleet(t, func(f *fleet) {
		is := is.New(f.t)
		f.publish(1)
		for _, name := range f.names[1:] {
			f.start(name)
		}
		time.Sleep(10 * time.Second)
		f.nodes["entry-1"].node.Pause() // a slow peer delays readiness by at most the fetch timeout
		f.store.SetFault(platform.Fault{Down: true})
		fresh := f.start("entry-0")
		is.True(!fresh.Ready())
		time.Sleep(1500 * time.Millisecond)
		is.True(fresh.Ready())
		is.Equal(fresh.Current().Version(), id.Version(1))
		is.True(fresh.Report().From != "")
		f.nodes["entry-1"].node.Resume()
	})
}

func TestNotReadyBeforeAVersionIsHeld(t *testing.T) {
	withFleet(t, func(f *fleet) {
		is := is.New(f.t)
		f.publish(1)
		f.store.SetFault(platform.Fault{Down: true})
		f.beat = time.Minute
		f.startAll()
		time.Sleep(5 * time.Minute)
		for _, n := range f.nodes {
			is.True(!n.Ready())
		}
		before := f.store.Counts()
		f.store.SetFault(platform.Fault{})
		time.Sleep(10 * time.Second)
		f.verify(1)
		after := f.store.Counts()
		calls := after[platform.Get] + after[platform.Watch] - before[platform.Get] - before[platform.Watch]
		is.True(calls <= 4*entries) // no burst of calls when the store is available again
	})
}

func TestWaitForWaitsForTheVersion(t *testing.T) {
	withFleet(t, func(f *fleet) {
		is := is.New(f.t)
		f.publish(1)
		f.startAll()
		time.Sleep(time.Minute)
		n := f.nodes["entry-0"]
		ctx, cancel := context.WithTimeout(f.t.Context(), 3*time.Second)
		defer cancel()
		is.True(n.WaitFor(ctx, 1))
		go func() { time.Sleep(time.Second); f.publish(2) }()
		is.True(n.WaitFor(ctx, 2))
		is.True(!n.WaitFor(ctx, 3))
	})
}

func TestContradictingPublicationIsIgnored(t *testing.T) {
	is := is.New(t)
	held := config.Ref{Version: 4, ID: "a"}
	is.Equal(config.Compare(held, config.Ref{Version: 4, ID: "b"}), config.Contradicting)
	is.Equal(config.Compare(held, held), config.Same)
	is.Equal(config.Compare(held, config.Ref{Version: 3, ID: "a"}), config.Older)
	is.Equal(config.Compare(held, config.Ref{Version: 5, ID: "b"}), config.Newer)
}
