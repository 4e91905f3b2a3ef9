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
	// relayed is a RelayFeed whose answers are scripted. Without an answer it waits.
	relayed struct {
		mu        sync.Mutex
		origin    follow.Origin
		lists     []listed
		changes   []changed
		rejects   int
		redirects []time.Duration
		waits     int
		began     time.Time
	}

	listed struct {
		origin  follow.Origin
		version store.Version
		keys    []string
	}

	changed struct {
		origin  follow.Origin
		after   time.Duration
		version store.Version
		keys    []string
		err     error
	}
)

func (r *relayed) All(context.Context) ([]store.Object, store.Version, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lists) == 0 {
		return nil, store.Version{}, store.ErrUnavailable
	}
	l := r.lists[0]
	r.lists, r.origin = r.lists[1:], l.origin
	return objects(l.keys), l.version, nil
}

func (r *relayed) Changes(ctx context.Context, _ store.Version, _ time.Duration) ([]store.Change, store.Version, error) {
	r.mu.Lock()
	r.waits++
	if len(r.changes) == 0 {
		r.mu.Unlock()
		<-ctx.Done()
		return nil, store.Version{}, ctx.Err()
	}
	c := r.changes[0]
	r.changes, r.origin = r.changes[1:], c.origin
	r.mu.Unlock()
	time.Sleep(c.after)
	var out []store.Change
	for _, o := range objects(c.keys) {
		out = append(out, store.Change{Object: o, Removed: true})
	}
	return out, c.version, c.err
}

func (r *relayed) Origin() follow.Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.origin
}

func (r *relayed) listsLeft() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lists)
}

func (r *relayed) Redirect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.redirects = append(r.redirects, time.Since(r.began))
}

func (r *relayed) Reject() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejects++
}

func objects(keys []string) []store.Object {
	var out []store.Object
	for _, key := range keys {
		out = append(out, store.Object{Key: key, Version: revision(1)})
	}
	return out
}

func followRelayed(ctx context.Context, r *relayed) (*follow.Follower, *sink) {
	s := &sink{}
	r.began = time.Now()
	f := &follow.Follower{
		Feed: r, Kind: follow.Servers, Sink: s, Timeout: 700 * time.Millisecond, ShortWait: 1800 * time.Millisecond, LongWait: 12 * time.Second,
		Batch: 450 * time.Millisecond, StallTimeout: 600 * time.Millisecond, ShortPoll: func() bool { return false }, Log: slog.New(slog.DiscardHandler),
	}
	go f.Run(ctx)
	return f, s
}

// A list of another entry must not replace a later state, nor one of another era.
func TestRelayedListsThatAreRejected(t *testing.T) {
	leader := follow.Origin{Entry: "leader"}
	tests := map[string]struct {
		second       listed
		invalidation store.Version
		want         string
		rejects      int
	}{
		"as late":               {listed{leader, revision(20), []string{"second"}}, store.Version{}, "second", 0},
		"older":                 {listed{leader, revision(19), []string{"second"}}, store.Version{}, "third", 1},
		"older than heard of":   {listed{leader, revision(25), []string{"second"}}, revision(26), "third", 1},
		"of a later era":        {listed{leader, store.Version{Era: 1, Revision: 30}, []string{"second"}}, store.Version{}, "third", 1},
		"of the store, any one": {listed{follow.Origin{}, revision(19), []string{"second"}}, store.Version{}, "second", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				third := listed{follow.Origin{}, revision(30), []string{"third"}}
				r := &relayed{
					lists:   []listed{{follow.Origin{}, revision(20), []string{"first"}}, tt.second, third},
					changes: []changed{{after: time.Second, err: store.ErrCompacted}},
				}
				f, s := followRelayed(ctx, r)
				time.Sleep(900 * time.Millisecond)
				is.Equal(s.has(), []string{"first"})
				f.Invalidate(tt.invalidation)
				time.Sleep(110 * time.Millisecond)
				synctest.Wait()
				is.Equal(s.has(), []string{tt.want})
				is.Equal(r.rejects, tt.rejects)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// An entry behind a leader must announce only what the leader has applied: a version that
// is merely covered would make all entries that wait for the store list the objects again.
func TestRelayedVersions(t *testing.T) {
	leader := follow.Origin{Entry: "leader", Age: 3 * time.Second, Latest: revision(33)}
	tests := map[string]struct {
		changes []changed
		// watches is the number of calls in the first 100 ms, as only changes of the store
		// are followed by the delay of a batch.
		watches int
		latest  store.Version
		age     time.Duration
	}{
		"changes of a leader": {[]changed{
			{origin: leader, version: revision(35), keys: []string{"a"}}, {origin: leader, version: revision(36), keys: []string{"a"}},
			{origin: leader, version: revision(40)},
		}, 4, revision(33), 100 * time.Millisecond},
		"changes of the store": {[]changed{
			{version: revision(35), keys: []string{"a"}}, {version: revision(36), keys: []string{"a"}},
		}, 1, revision(35), 100 * time.Millisecond},
		"leader has applied more than it sends": {[]changed{
			{origin: leader, version: revision(32), keys: []string{"a"}},
		}, 2, revision(32), 100 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				r := &relayed{lists: []listed{{follow.Origin{}, revision(30), []string{"first"}}}, changes: tt.changes}
				f, _ := followRelayed(ctx, r)
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				is.Equal(r.waits, tt.watches)
				is.Equal(f.Latest(), tt.latest)
				is.True(f.Age(time.Now()) <= tt.age)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// An entry that is late must be left after the delay of a batch, before the objects are
// listed again.
func TestRelayedWatchIsRedirected(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := &relayed{lists: []listed{{follow.Origin{}, revision(30), nil}, {follow.Origin{}, revision(31), nil}}}
		f, _ := followRelayed(ctx, r)
		time.Sleep(time.Second)
		f.Invalidate(revision(31))
		time.Sleep(599 * time.Millisecond)
		synctest.Wait()
		is.Equal(r.redirects, []time.Duration{1450 * time.Millisecond})
		is.Equal(r.listsLeft(), 1)
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		is.Equal(r.listsLeft(), 0)
		cancel()
		synctest.Wait()
	})
}

// arriving is a relayed feed that reports for a time that an answer is arriving.
type arriving struct {
	relayed

	until time.Time
}

func (a *arriving) Receiving() bool { return time.Now().Before(a.until) }

func (a *arriving) redirected() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.redirects)
}

// Guards against an entry that keeps waiting for a leader that fails while it sends a change: the
// answer was arriving when the wait for the change ended.
func TestLeaderThatStopsSendingIsLeft(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		a := &arriving{}
		a.lists = []listed{{follow.Origin{Entry: "leader"}, revision(20), nil}}
		f := &follow.Follower{
			Feed: a, Kind: follow.Configuration, Sink: &sink{}, Timeout: 700 * time.Millisecond, ShortWait: 1800 * time.Millisecond, LongWait: 12 * time.Second,
			Batch: 450 * time.Millisecond, StallTimeout: 600 * time.Millisecond, ShortPoll: func() bool { return false }, Log: slog.New(slog.DiscardHandler),
		}
		go f.Run(ctx)
		time.Sleep(time.Second)
		a.began = time.Now()
		a.until = a.began.Add(800 * time.Millisecond)
		f.Invalidate(revision(21))
		time.Sleep(799 * time.Millisecond)
		synctest.Wait()
		is.Equal(a.redirected(), 0)
		time.Sleep(201 * time.Millisecond)
		synctest.Wait()
		is.Equal(a.redirected(), 1)
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute) // ends the checks
	})
}
