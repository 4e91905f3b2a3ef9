package follow_test

import (
	"context"
	"errors"
	"log/slog"
	"slices"
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
	// slowFeed is a store whose watches end with an error, or deliver an answer slowly.
	slowFeed struct {
		mu      sync.Mutex
		all     []store.Object
		version store.Version
		// fail ends the watch in progress with an error.
		fail chan error
		// transfer is how long the answer with the next change takes, from its first byte.
		transfer  time.Duration
		receiving bool
		lists     int
		watched   []store.Version
	}
)

func newSlowFeed(version store.Revision, objects map[string]store.Revision) *slowFeed {
	f := &slowFeed{fail: make(chan error)}
	f.set(version, objects)
	return f
}

// set replaces the store's objects, given their versions.
func (f *slowFeed) set(version store.Revision, objects map[string]store.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version, f.all = revision(version), nil
	for key, v := range objects {
		f.all = append(f.all, store.Object{Key: key, Version: revision(v)})
	}
}

func (f *slowFeed) All(context.Context) ([]store.Object, store.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	return f.all, f.version, nil
}

func (f *slowFeed) Changes(ctx context.Context, after store.Version, wait time.Duration) ([]store.Change, store.Version, error) {
	f.mu.Lock()
	f.watched = append(f.watched, after)
	transfer := f.transfer
	f.receiving = transfer > 0
	f.mu.Unlock()
	if transfer > 0 {
		wait = transfer
	}
	select {
	case <-time.After(wait):
	case err := <-f.fail:
		return nil, store.Version{}, err
	case <-ctx.Done():
		return nil, store.Version{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receiving, f.transfer = false, 0
	var changes []store.Change
	for _, o := range f.all {
		if after.Before(o.Version) {
			changes = append(changes, store.Change{Object: o})
		}
	}
	return changes, f.version, nil
}

// Receiving implements store.Receiver.
func (f *slowFeed) Receiving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.receiving
}

// listed returns the number of lists.
func (f *slowFeed) listed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists
}

// watchedFrom returns the versions from which changes were requested.
func (f *slowFeed) watchedFrom() []store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.watched)
}

// follower returns a follower of the feed, and the number of calls of OnCatchUp.
func (f *slowFeed) follower(kind follow.Kind) (*follow.Follower, *int) {
	announced := new(int)
	return &follow.Follower{
		Feed: f, Kind: kind, Sink: &sink{}, Timeout: 700 * time.Millisecond, ShortWait: 1800 * time.Millisecond, LongWait: 12 * time.Second,
		Batch: 450 * time.Millisecond, StallTimeout: 600 * time.Millisecond, ShortPoll: func() bool { return false },
		OnCatchUp: func() { *announced++ }, Log: slog.New(slog.DiscardHandler),
	}, announced
}

// Guards against a list after a failed call that is announced as a change although it holds
// none: all other entries then list the objects too, whose calls may fail in turn.
func TestListAfterFailureAnnouncesOnlyChanges(t *testing.T) {
	tests := map[string]struct {
		// objects are those of the store when the watch fails.
		objects   map[string]store.Revision
		latest    store.Revision
		announced int
	}{
		"nothing changed": {map[string]store.Revision{"a": 40, "b": 50}, 50, 0},
		"object changed":  {map[string]store.Revision{"a": 40, "b": 70}, 70, 1},
		"object created":  {map[string]store.Revision{"a": 40, "b": 50, "c": 80}, 80, 1},
		"object removed":  {map[string]store.Revision{"b": 50}, 130, 1},
		"object replaced": {map[string]store.Revision{"b": 50, "c": 80}, 130, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				feed := newSlowFeed(100, map[string]store.Revision{"a": 40, "b": 50})
				f, announced := feed.follower(follow.Servers)
				go f.Run(ctx)
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(f.Latest(), revision(50))
				feed.set(130, tt.objects)
				feed.fail <- errors.New("connection reset")
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(feed.listed(), 2)
				is.Equal(f.Latest(), revision(tt.latest))
				is.Equal(*announced, tt.announced)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against an answer that is given up while it arrives, since another entry has a faster
// link: the list that follows takes as long, and is given up in turn.
func TestAnswerThatArrivesIsNotGivenUp(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		feed := newSlowFeed(100, map[string]store.Revision{"main": 50})
		feed.transfer = 5 * time.Second
		f, _ := feed.follower(follow.Configuration)
		go f.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		feed.set(130, map[string]store.Revision{"main": 120})
		f.Invalidate(revision(120))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		is.Equal(len(feed.watchedFrom()), 1)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(f.Latest(), revision(120))
		is.Equal(feed.listed(), 1)
		cancel()
		synctest.Wait()
	})
}

// Guards against a list of large objects after each failed call, although nothing has changed:
// on a slow link it takes longer than the time until the next failure.
func TestFailedWatchIsResumed(t *testing.T) {
	lost := errors.New("connection reset")
	tests := map[string]struct {
		failures []error
		lists    int
	}{
		"once":                      {[]error{lost}, 1},
		"repeatedly":                {[]error{lost, lost, lost}, 1},
		"changes were discarded":    {[]error{lost, store.ErrCompacted}, 2},
		"restored from an old copy": {[]error{store.ErrRestored}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				feed := newSlowFeed(100, map[string]store.Revision{"main": 50})
				f, announced := feed.follower(follow.Configuration)
				f.Resume = true
				go f.Run(ctx)
				time.Sleep(time.Second)
				synctest.Wait()
				feed.set(130, map[string]store.Revision{"main": 120})
				for _, err := range tt.failures {
					feed.fail <- err
				}
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(feed.listed(), tt.lists)
				is.Equal(f.Latest(), revision(120))
				is.True(!f.Unavailable())
				if tt.lists == 1 {
					is.Equal(feed.watchedFrom()[:2], []store.Version{revision(100), revision(100)})
					is.Equal(*announced, 0)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a list that is announced as a change after an outage, though the watch had
// continued from its version since, so that no change was missed.
func TestResumedWatchLeavesNoGap(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		feed := newSlowFeed(100, map[string]store.Revision{"main": 50, "old": 40})
		f, announced := feed.follower(follow.Configuration)
		f.Resume = true
		go f.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		for range 3 {
			feed.fail <- errors.New("connection reset")
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(feed.listed(), 1)
		is.True(!f.Unavailable())
		// The watch is behind another entry's, and the objects are listed.
		feed.set(130, map[string]store.Revision{"main": 120})
		f.Invalidate(revision(120))
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(feed.listed(), 2)
		is.Equal(f.Latest(), revision(120))
		is.Equal(*announced, 0)
		cancel()
		synctest.Wait()
	})
}

// Guards against an entry that transfers all versions of a large object that it has missed in an
// outage, one by one.
func TestChangesOfAnOutageAreListed(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		feed := newSlowFeed(100, map[string]store.Revision{"main": 50})
		f, announced := feed.follower(follow.Configuration)
		f.Resume = true
		go f.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		feed.mu.Lock()
		feed.transfer = time.Second // so that watches without a wait end by their failures
		feed.mu.Unlock()
		for range 3 {
			feed.fail <- errors.New("connection reset")
		}
		feed.set(130, map[string]store.Revision{"main": 120})
		f.Invalidate(revision(120))
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(feed.listed(), 2)
		is.Equal(f.Latest(), revision(120))
		is.Equal(*announced, 1)
		is.True(!f.Unavailable())
		cancel()
		synctest.Wait()
	})
}
