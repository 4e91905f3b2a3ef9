package follow_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/store"
)

type (
	// switchedFeed is a store that can be made unavailable.
	switchedFeed struct {
		mu          sync.Mutex
		unavailable bool
		version     store.Revision
		keys        []string
	}

	// sink holds the keys that were set last.
	sink struct {
		mu   sync.Mutex
		keys []string
	}
)

// revision returns a version of era 0.
func revision(r store.Revision) store.Version { return store.Version{Revision: r} }

func (f *switchedFeed) All(context.Context) ([]store.Object, store.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return nil, store.Version{}, store.ErrUnavailable
	}
	var all []store.Object
	for _, key := range f.keys {
		all = append(all, store.Object{Key: key, Version: revision(f.version)})
	}
	return all, revision(f.version), nil
}

func (f *switchedFeed) Changes(ctx context.Context, after store.Version, wait time.Duration) ([]store.Change, store.Version, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, store.Version{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return nil, store.Version{}, store.ErrUnavailable
	}
	return nil, after, nil
}

func (f *switchedFeed) set(unavailable bool, version store.Revision, keys ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable, f.version, f.keys = unavailable, version, keys
}

func (s *sink) Replace(_ time.Time, all []store.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = nil
	for _, o := range all {
		s.keys = append(s.keys, o.Key)
	}
}

func (*sink) Change(time.Time, store.Object) {}

func (*sink) Remove(time.Time, string) {}

func (*sink) StoreRecovered(time.Time, time.Duration) {}

func (*sink) StoreRestored(time.Time, store.Version, store.Version) {}

func (s *sink) set(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = keys
}

func (s *sink) has() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys
}

// While the store is unavailable, an entry must apply a peer's state if, and only if,
// it is more recent than its own. Once the store is back, its list takes precedence.
func TestBootstrapAppliesOnlyNewerState(t *testing.T) {
	tests := map[string]struct {
		// before is the version of the store's initial state; 0 is a store that
		// is unavailable from the start.
		before store.Revision
		// invalidation is the newest change that another entry has applied.
		invalidation store.Revision
		// needsPeerState is the expected result of NeedsPeerState.
		needsPeerState bool
		// received is the version of the state that the other entry sends.
		received store.Revision
		// applied is whether that state is expected to be applied.
		applied bool
	}{
		"no state yet":                             {0, 5, true, 5, true},
		"no peer has state":                        {0, 0, true, 0, false},
		"peer has a later change":                  {4, 5, true, 5, true},
		"peer has the same change":                 {5, 5, false, 5, false},
		"peer has advanced since the invalidation": {4, 5, true, 6, true},
		"peer sends an older state":                {4, 5, true, 3, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				fd, s := &switchedFeed{}, &sink{}
				fd.set(tt.before == 0, tt.before, "listed")
				f := &follow.Follower{
					Feed: fd, Kind: follow.Servers, Sink: s, Timeout: time.Second, ShortWait: time.Second, LongWait: time.Minute,
					Batch: time.Second, StallTimeout: time.Second, ShortPoll: func() bool { return true }, Log: slog.New(slog.DiscardHandler),
				}
				go f.Run(ctx)
				time.Sleep(10 * time.Second)
				fd.set(true, 0)
				time.Sleep(10 * time.Second)
				f.Invalidate(revision(tt.invalidation))
				time.Sleep(10 * time.Second)
				is.Equal(f.NeedsPeerState(), tt.needsPeerState)
				is.Equal(f.Bootstrap(revision(tt.received), func() { s.set("bootstrapped") }), tt.applied)
				is.Equal(len(s.has()) > 0 && s.has()[0] == "bootstrapped", tt.applied)
				// The store takes precedence over another entry.
				fd.set(false, 9, "listed again")
				time.Sleep(10 * time.Second)
				is.Equal(s.has(), []string{"listed again"})
				is.True(!f.NeedsPeerState())
				is.True(!f.Bootstrap(revision(8), func() { s.set("bootstrapped late") }))
				is.Equal(s.has(), []string{"listed again"})
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestCapture(t *testing.T) {
	is := is.New(t)
	f := &follow.Follower{Log: slog.New(slog.DiscardHandler)}
	var got store.Version
	f.Capture(func(v store.Version) { got = v })
	is.Equal(got, store.Version{}) // no state has been applied
	is.True(f.Bootstrap(revision(7), func() {}))
	f.Capture(func(v store.Version) { got = v })
	is.Equal(got, revision(7))
}
