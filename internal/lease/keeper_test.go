package lease_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/lease"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/platform"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	keepers    = 7
	buckets    = 12
	lifetimeOf = 15 * time.Second
)

// fleet is a number of keepers of the same leases on one store.
type fleet struct {
	leases  int
	timed   bool
	sparse  bool
	store   *platform.Store
	keepers []*lease.Keeper
	stop    []func()
	gone    set
	names   []string
	down    set // instances that can't reach the store
	skipped set // instances that want no lease
}

// set is a set of instance names.
type set struct{ names sync.Map }

func (s *set) add(name string) { s.names.Store(name, true) }

func (s *set) remove(name string) { s.names.Delete(name) }

func (s *set) has(name string) bool {
	_, ok := s.names.Load(name)
	return ok
}

func (f *fleet) startAll() {
	f.store = new(platform.Store)
	f.store.SetHook(func(c platform.Call) platform.Fault { return platform.Fault{Down: f.down.has(c.From)} })
	for i := range f.leases {
		f.names = append(f.names, fmt.Sprint("registry/zone-", i))
	}
	for i := range keepers {
		f.start(i, 1)
	}
}

// start starts the keeper of instance i. It wants each lease n with n mod keepers
// equal to i, and those of the stopped and skipped instances directly before it.
func (f *fleet) start(i int, incarnation id.Incarnation) {
	name := fmt.Sprint("entry-", i)
	k := &lease.Keeper{
		Store: &platform.Client{Store: f.store, Name: name}, Prefix: "lease/home/",
		Self:     lease.Owner{Instance: id.Instance(name), Incarnation: incarnation},
		Deadline: time.Minute, Timed: f.timed, Sparse: f.sparse, Log: slog.New(slog.DiscardHandler),
		Names: func() []string { return f.names },
		Gone:  func(n id.Instance) bool { return f.gone.has(string(n)) },
		Want: func(lease string) bool {
			var n int
			_, _ = fmt.Sscanf(lease, "registry/zone-%d", &n)
			for c := range keepers { // the next instance that is present
				want := (n + c) % keepers
				if other := fmt.Sprint("entry-", want); !f.gone.has(other) && !f.skipped.has(other) {
					return want == i
				}
			}
			return false
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = k.Run(ctx); close(done) }()
	stop := func() { cancel(); <-done }
	if i < len(f.keepers) {
		f.keepers[i], f.stop[i] = k, stop
		return
	}
	f.keepers, f.stop = append(f.keepers, k), append(f.stop, stop)
}

// holders returns the keepers that may act under a lease now.
func (f *fleet) holders(name string) []int {
	var all []int
	for i, k := range f.keepers {
		if _, ok := k.Held(name); ok {
			all = append(all, i)
		}
	}
	return all
}

func inFleet(t *testing.T, f *fleet, test func(is *is.I, f *fleet)) {
	simclock.Test(t, func(t *testing.T) {
		f.startAll()
		time.Sleep(time.Minute)
		test(is.New(t), f)
		for _, stop := range f.stop {
			stop()
		}
	})
}

func TestEachLeaseIsHeldWithinTheCallBudget(t *testing.T) {
	inFleet(t, &fleet{leases: buckets}, func(is *is.I, f *fleet) {
		for i, name := range f.names {
			is.Equal(f.holders(name), []int{i % keepers})
		}
		before := f.store.Counts()
		time.Sleep(10 * time.Minute)
		after := f.store.Counts()
		reads, writes := after[platform.List]-before[platform.List], after[platform.Put]-before[platform.Put]
		t.Logf("%d keepers, %d leases: %.2f reads and %.2f writes a second", keepers, buckets, float64(reads)/600, float64(writes)/600)
		is.True(reads+writes < 600*5)
	})
}

func TestSparseKeepersReadOnlyForTheirLeases(t *testing.T) {
	inFleet(t, &fleet{leases: 2, sparse: true}, func(is *is.I, f *fleet) { // two of seven keepers want one
		before := f.store.Counts()[platform.List]
		time.Sleep(10 * time.Minute)
		reads := f.store.Counts()[platform.List] - before
		is.True(reads >= 2*600/5 && reads <= 2*600/4+2)
		is.Equal(f.holders(f.names[1]), []int{1})
	})
}

func TestLeasesStayHeldThroughAStoreOutage(t *testing.T) {
	inFleet(t, &fleet{leases: buckets}, func(is *is.I, f *fleet) {
		f.store.SetFault(platform.Fault{Down: true})
		for range 3 * 60 {
			time.Sleep(time.Minute)
			for i, name := range f.names {
				is.Equal(f.holders(name), []int{i % keepers}) // still held during the outage
			}
		}
		f.store.SetFault(platform.Fault{})
		before := f.store.Counts()
		time.Sleep(lifetimeOf / 3)
		for i, name := range f.names {
			is.Equal(f.holders(name), []int{i % keepers}) // held in the same term after it
			g, _ := f.keepers[i%keepers].Held(name)
			is.Equal(g.Term, id.Term(1))
		}
		after := f.store.Counts()
		is.True(after[platform.List]-before[platform.List] <= 2*keepers)
		is.True(after[platform.Put]-before[platform.Put] <= 2*buckets)
	})
}

func TestTimedLeaseExpiresInAnOutage(t *testing.T) {
	inFleet(t, &fleet{leases: buckets, timed: true}, func(is *is.I, f *fleet) {
		f.store.SetFault(platform.Fault{Down: true})
		time.Sleep(lifetimeOf)
		for _, name := range f.names {
			is.Equal(len(f.holders(name)), 0) // no keeper acts on an expired confirmation
		}
	})
}

func TestRequestTermRaisesTheTermOfAHeldLease(t *testing.T) {
	inFleet(t, &fleet{leases: 1}, func(is *is.I, f *fleet) {
		before, _ := f.keepers[0].Held(f.names[0])
		f.keepers[0].RequestTerm(f.names[0])
		f.keepers[1].RequestTerm(f.names[0]) // doesn't hold it
		time.Sleep(2 * lifetimeOf)
		after, held := f.keepers[0].Held(f.names[0])
		is.True(held)
		is.Equal(after.Term, before.Term+1)
	})
}

func TestTakeoverFromAnInstanceThatIsGone(t *testing.T) {
	inFleet(t, &fleet{leases: buckets}, func(is *is.I, f *fleet) {
		name := f.names[0]
		f.down.add("entry-0") // cut off from the store, but still running
		f.gone.add("entry-0")
		for range 60 {
			time.Sleep(time.Second)
			is.True(len(f.holders(name)) <= 1)
		}
		is.Equal(f.holders(name), []int{1})
		g, _ := f.keepers[1].Held(name)
		is.Equal(g.Term, id.Term(2))
		is.True(time.Until(g.FreeAt) > 0) // requests admitted in the old term may still run
		r, _, ok := f.keepers[5].Record(name)
		is.True(ok)
		is.Equal(r.Holder.Instance, id.Instance("entry-1"))
	})
}

func TestGracefulShutdownReleasesAtOnce(t *testing.T) {
	inFleet(t, &fleet{leases: buckets}, func(is *is.I, f *fleet) {
		f.stop[0]()
		f.gone.add("entry-0")
		time.Sleep(lifetimeOf / 3)
		is.Equal(f.holders(f.names[0]), []int{1})
		f.start(0, 2)
	})
}

func TestLaterProcessOfTheSameInstanceWaitsALifetime(t *testing.T) {
	inFleet(t, &fleet{leases: buckets}, func(is *is.I, f *fleet) {
		f.down.add("entry-0")
		f.stop[0]() // stops without a release
		f.down.remove("entry-0")
		f.start(0, 2)
		time.Sleep(lifetimeOf / 3)
		is.Equal(len(f.holders(f.names[0])), 0) // waits until the grants of its predecessor have expired
		time.Sleep(lifetimeOf)
		is.Equal(f.holders(f.names[0]), []int{0})
	})
}

func TestNoSecondHolderWithLostAnswersAndStaleReads(t *testing.T) {
	inFleet(t, &fleet{leases: buckets}, func(is *is.I, f *fleet) {
		f.store.SetHook(func(c platform.Call) platform.Fault {
			return platform.Fault{Lost: c.Count%3 == 0, Stale: unit.Duration(c.Count%2) * unit.Duration(time.Minute)}
		})
		for range 300 {
			time.Sleep(time.Second)
			for i, name := range f.names {
				for _, holder := range f.holders(name) {
					is.Equal(holder, i%keepers) // never another keeper
				}
			}
		}
		f.store.SetHook(nil)
		time.Sleep(lifetimeOf)
		for i, name := range f.names {
			is.Equal(f.holders(name), []int{i % keepers})
		}
	})
}

func TestTimedLeaseIsTakenOverWithoutThePlatform(t *testing.T) {
	inFleet(t, &fleet{leases: buckets, timed: true}, func(is *is.I, f *fleet) {
		name := f.names[0]
		f.down.add("entry-0")
		began, moved := time.Now(), time.Duration(0)
		f.skipped.add("entry-0")
		for moved == 0 && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
			is.True(len(f.holders(name)) <= 1)
			if h := f.holders(name); len(h) == 1 && h[0] == 1 {
				moved = time.Since(began)
			}
		}
		t.Logf("lease taken over after %v", moved)
		is.True(moved > 0)
	})
}
