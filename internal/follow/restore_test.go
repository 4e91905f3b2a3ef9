package follow_test

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
	"github.com/shallotpier/shallotpier/internal/store"
)

// Times of the followers under test, equal to those of the users' small deployments.
const (
	shortWait    = 1800 * time.Millisecond
	longWait     = 12 * time.Second
	callTimeout  = 700 * time.Millisecond
	batch        = 300 * time.Millisecond
	stallTimeout = 450 * time.Millisecond
	// repairBound is how long after the last write an entry may differ from the
	// store.
	repairBound = 2 * time.Second
)

type (
	// table is a sink that holds the objects' values.
	table struct {
		mu       sync.Mutex
		values   map[string]string
		restores []restore
	}

	restore struct{ before, after store.Version }

	// followed is a follower of a store that can be restored.
	followed struct {
		*follow.Follower
		store  *feed.Store
		client *feed.Client
		table  *table
		logged *bytes.Buffer
		cancel context.CancelFunc
	}
)

func (t *table) Replace(_ time.Time, all []store.Object) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.values = make(map[string]string, len(all))
	for _, o := range all {
		t.values[o.Key] = string(o.Value)
	}
}

func (t *table) Change(_ time.Time, o store.Object) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.values[o.Key] = string(o.Value)
}

func (t *table) Remove(_ time.Time, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.values, key)
}

func (*table) StoreRecovered(time.Time, time.Duration) {}

func (t *table) StoreRestored(_ time.Time, before, after store.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restores = append(t.restores, restore{before, after})
}

func (t *table) has() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.values)
}

func (t *table) set(values map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.values = maps.Clone(values)
}

// followRestorable runs a check with a follower that has two objects of era 1, ready, of a
// short-poll entry if short is set.
func followRestorable(t *testing.T, short bool, check func(is *is.I, f *followed)) {
	t.Helper()
	simclock.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := feed.New(store.Version{Era: 1, Revision: 500})
		f := &followed{store: s, client: &feed.Client{Store: s, Timeout: callTimeout}, table: &table{}, logged: &bytes.Buffer{}, cancel: cancel}
		f.Follower = &follow.Follower{
			Feed: f.client, Kind: follow.Servers, Sink: f.table, Timeout: callTimeout, ShortWait: shortWait, LongWait: longWait, Batch: batch,
			StallTimeout: stallTimeout, ShortPoll: func() bool { return short }, Log: slog.New(slog.NewTextHandler(f.logged, nil)), Metrics: metrics.NewSet(),
		}
		putAll(s, "ready", "i-1", "i-2")
		go f.Run(ctx)
		time.Sleep(time.Minute)
		check(is.New(t), f)
		f.stop()
	})
}

// stop ends the follower and its pending calls.
func (f *followed) stop() {
	f.cancel()
	time.Sleep(time.Minute)
	synctest.Wait()
}

// restoreLater restores the store to its present copy after some lost writes, with the
// store unavailable for a moment.
func restoreLater(s *feed.Store, lose func()) {
	older := s.Copy()
	lose()
	time.Sleep(time.Second)
	s.SetUnavailable(true)
	time.Sleep(50 * time.Millisecond)
	s.Restore(older)
	s.SetUnavailable(false)
}

// putAll writes the same value under each key.
func putAll(s *feed.Store, value string, keys ...string) {
	for _, key := range keys {
		s.Put(key, value)
	}
}

// After a restore, an entry must have the same objects as the store again within
// repairBound of the last write, whatever it knew by revisions that were given out
// again.
func TestRestoredStore(t *testing.T) {
	tests := map[string]struct {
		// long makes the entry one that isn't a short-poll entry.
		long bool
		// play restores the store and ends with the last write.
		play func(f *followed)
	}{
		"lost object": {play: func(f *followed) {
			restoreLater(f.store, func() { f.store.Put("i-9", "ready") })
		}},
		"watch begins after the revisions were given out again": {play: func(f *followed) {
			older := f.store.Copy()
			putAll(f.store, "lost", "i-8", "i-9") // followed by the batch delay
			time.Sleep(50 * time.Millisecond)
			f.store.Restore(older)
			putAll(f.store, "ready", "i-3", "i-4", "i-5")
		}},
		"watch begins from a lost future": {play: func(f *followed) {
			older := f.store.Copy()
			putAll(f.store, "lost", "i-8", "i-9")
			time.Sleep(50 * time.Millisecond)
			f.store.Restore(older)
			f.store.Put("i-1", "leaving")
		}},
		"watch begins from a revision that was given out again": {play: func(f *followed) {
			older := f.store.Copy()
			f.store.Put("i-8", "lost") // followed by the batch delay
			time.Sleep(50 * time.Millisecond)
			f.store.Restore(older)
			f.store.Put("i-1", "leaving")
		}},
		"list answered before the restore and delivered after it": {play: func(f *followed) {
			older := f.store.Copy()
			putAll(f.store, "lost", "i-8", "i-9")
			f.store.SetUnavailable(true)
			time.Sleep(time.Second)
			f.client.SetFault(feed.Fault{Delay: callTimeout - time.Millisecond})
			f.store.SetUnavailable(false)
			time.Sleep(400 * time.Millisecond)
			f.client.SetFault(feed.Fault{})
			f.store.Restore(older)
			putAll(f.store, "ready", "i-3", "i-4", "i-5")
		}},
		"change that only a peer has received, with a revision given out before": {long: true, play: func(f *followed) {
			older := f.store.Copy()
			putAll(f.store, "lost", "i-6", "i-7", "i-8", "i-9")
			time.Sleep(time.Second)
			f.client.SetFault(feed.Fault{Stalled: true}) // the watch isn't told of the restore
			f.store.Restore(older)
			f.store.Put("i-1", "leaving")
			time.Sleep(300 * time.Millisecond)
			f.client.SetFault(feed.Fault{})
			f.Invalidate(f.store.Version())
		}},
		"peer's state after the restore, with a lower revision": {play: func(f *followed) {
			older := f.store.Copy()
			putAll(f.store, "lost", "i-6", "i-7", "i-8", "i-9")
			time.Sleep(time.Second)
			f.client.SetFault(feed.Fault{Unavailable: true})
			f.store.Restore(older)
			f.store.Put("i-1", "leaving")
			time.Sleep(5 * time.Second)
			f.Bootstrap(f.store.Version(), func() { f.table.set(f.store.Values()) })
		}},
		"peer's state from before the restore, with a higher revision": {play: func(f *followed) {
			older := f.store.Copy()
			putAll(f.store, "lost", "i-6", "i-7", "i-8", "i-9")
			late, lost := f.store.Version(), f.store.Values()
			time.Sleep(time.Second)
			f.store.Restore(older)
			f.store.Put("i-1", "leaving")
			time.Sleep(5 * time.Second)
			f.client.SetFault(feed.Fault{Unavailable: true})
			time.Sleep(5 * time.Second)
			f.Invalidate(late)
			f.Bootstrap(late, func() { f.table.set(lost) })
		}},
		"several restores": {play: func(f *followed) {
			first := f.store.Copy()
			putAll(f.store, "lost", "i-7", "i-8", "i-9")
			second := f.store.Copy()
			putAll(f.store, "lost", "i-6")
			time.Sleep(50 * time.Millisecond)
			f.store.Restore(second)
			putAll(f.store, "lost", "i-5", "i-6")
			time.Sleep(50 * time.Millisecond)
			f.store.Restore(first)
			putAll(f.store, "ready", "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7")
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			followRestorable(t, !tt.long, func(is *is.I, f *followed) {
				tt.play(f)
				time.Sleep(repairBound)
				is.Equal(f.table.has(), f.store.Values())
			})
		})
	}
}

// An invalidation by a lost revision must not make the entry list the objects again
// and again.
func TestInvalidationByALostRevisionEndsWithItsEra(t *testing.T) {
	followRestorable(t, true, func(is *is.I, f *followed) {
		s := f.store
		restoreLater(s, func() {
			putAll(s, "lost", "i-8", "i-9")
			f.Invalidate(s.Version())
		})
		time.Sleep(repairBound)
		before := f.client.Lists()
		for range 60 {
			time.Sleep(time.Second)
			f.Invalidate(store.Version{Era: 1, Revision: 504}) // of a peer that is cut off
		}
		is.Equal(f.client.Lists(), before)
		is.True(!f.NeedsPeerState())
	})
}

// A later era in the answer to any call must make all followers of an entry list their
// objects again, also those whose own connection is silent.
func TestEraIsSharedAmongFollowers(t *testing.T) {
	followRestorable(t, false, func(is *is.I, f *followed) {
		s := f.store
		g := follow.Group{follow.Servers: f.Follower}
		older := s.Copy()
		s.Put("i-1", "leaving")
		time.Sleep(time.Second)
		f.client.SetFault(feed.Fault{Stalled: true})
		s.Restore(older)
		time.Sleep(100 * time.Millisecond)
		f.client.SetFault(feed.Fault{})
		is.Equal(f.table.has()["i-1"], "leaving")
		g.ObserveEra(2)
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.table.has(), s.Values())
		is.Equal(g.Era(follow.Servers), store.Era(2))
	})
}

// An answer of an older era, on a connection that lagged, must change nothing, must not
// count as an answer of the store, and must not be requested in a tight loop.
func TestAnswersOfAnOlderEraAreDropped(t *testing.T) {
	followRestorable(t, true, func(is *is.I, f *followed) {
		s := f.store
		f.ObserveEra(2) // the answers of f's connection lag behind
		s.Put("i-1", "leaving")
		before := f.client.Lists()
		time.Sleep(10 * time.Second)
		is.Equal(f.table.has()["i-1"], "ready")
		is.True(f.Age(time.Now()) >= 10*time.Second)
		is.Equal(f.AvailableFor(time.Now()), time.Duration(0))
		is.True(f.client.Lists()-before < 40)
		s.Restore(s.Copy())
		time.Sleep(repairBound)
		is.Equal(f.table.has(), s.Values())
	})
}

// The first list of an era must be compared with what was known before it, also if a
// peer's state of that era has been applied: that state may hold what the peer knew
// before.
func TestFirstListAfterAPeersStateIsComparedWithIt(t *testing.T) {
	followRestorable(t, true, func(is *is.I, f *followed) {
		s := f.store
		f.client.SetFault(feed.Fault{Unavailable: true})
		time.Sleep(5 * time.Second)
		s.Restore(s.Copy())
		is.True(f.Bootstrap(s.Version(), func() { f.table.set(map[string]string{"i-1": "leaving"}) }))
		time.Sleep(time.Second)
		f.client.SetFault(feed.Fault{})
		time.Sleep(5 * time.Second)
		first, after := store.Version{Era: 1, Revision: 502}, store.Version{Era: 2, Revision: 502}
		f.stop()
		is.Equal(f.table.restores, []restore{{first, after}, {after, after}})
		is.Equal(f.Metrics.GetOrCreateCounter(`shallotpier_store_restores_total{kind="servers"}`).Get(), uint64(1))
	})
}

// A restore must be reported once, with what was known before it, to the sink, in the
// log and in the metrics; compacted history and a plain outage must not be reported so.
func TestRestoreIsReported(t *testing.T) {
	tests := map[string]struct {
		play func(s *feed.Store)
		want []restore
	}{
		"restore": {func(s *feed.Store) {
			restoreLater(s, func() { s.Put("i-3", "ready") })
		}, []restore{{store.Version{Era: 1, Revision: 503}, store.Version{Era: 2, Revision: 502}}}},
		"two restores": {func(s *feed.Store) {
			restoreLater(s, func() {})
			time.Sleep(time.Second)
			s.Put("i-3", "ready")
			time.Sleep(time.Second)
			restoreLater(s, func() { s.Put("i-4", "ready") })
		}, []restore{
			{store.Version{Era: 1, Revision: 502}, store.Version{Era: 2, Revision: 502}},
			{store.Version{Era: 2, Revision: 504}, store.Version{Era: 3, Revision: 503}},
		}},
		"plain outage": {func(s *feed.Store) {
			s.SetUnavailable(true)
			time.Sleep(5 * time.Second)
			s.SetUnavailable(false)
		}, nil},
		"compaction": {func(s *feed.Store) {
			s.SetUnavailable(true)
			s.Put("i-3", "ready")
			s.Compact()
			s.SetUnavailable(false)
		}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			followRestorable(t, true, func(is *is.I, f *followed) {
				tt.play(f.store)
				time.Sleep(repairBound)
				f.stop()
				is.Equal(f.table.restores, tt.want)
				is.Equal(strings.Count(f.logged.String(), "store restored from an older copy"), len(tt.want))
				is.Equal(f.Metrics.GetOrCreateCounter(`shallotpier_store_restores_total{kind="servers"}`).Get(), uint64(len(tt.want)))
				is.True(!strings.Contains(f.logged.String(), "compacted") || name == "compaction")
				if len(tt.want) > 0 {
					is.Equal(f.table.restores[len(tt.want)-1].after.Era, f.Era())
				}
			})
		})
	}
}
