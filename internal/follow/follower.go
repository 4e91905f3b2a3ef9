// Package follow keeps an entry up to date with the objects of the platform's
// store.
//
// A [Follower] lists the objects of one kind and then asks for their changes, one
// long call after the other. Most of those calls would only show that a connection
// has not gone silent, so only a few entries, the scouts, wait for a short time.
// Entries tell each other the newest change that they know; one that does not get
// it from the store in time lists anew. While the store doesn't answer an entry, it
// may take over what another entry knows, which the version of the newest change
// guards from going back.
//
// # Usage
//
//	f := &follow.Follower{Feed: feed, Kind: follow.Servers, Sink: sink, Scout: isScout, Log: log}
//	go f.Run(ctx)
//	f.Hint(version)                  // another entry knows a change
//	f.Adopt(version, func() { ... }) // and has told what it knows
package follow

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
)

const (
	// firstRetry is the pause after a call that failed, doubled up to a limit
	// while calls fail: the store's rates allow each of hundreds of entries a few
	// calls a second.
	firstRetry = 50 * time.Millisecond
	// scoutRetry is that limit for an entry that scouts, idleRetry for others.
	scoutRetry = 400 * time.Millisecond
	idleRetry  = 1600 * time.Millisecond
)

// Kinds of objects that an entry follows.
const (
	// Servers are the registrations of backend servers.
	Servers Kind = "servers"
	// Configuration is the configuration of operators.
	Configuration Kind = "configuration"
	// EvacuatedZones are the zones whose servers get nothing.
	EvacuatedZones Kind = "evacuatedZones"
)

type (
	// Kind names a kind of objects, between entries and in logs.
	Kind string

	// Sink takes what a Follower learns. Its methods are called one at a time.
	Sink interface {
		// Replace takes in all objects of the kind.
		Replace(now time.Time, all []store.Object)
		// Change takes in a changed object.
		Change(now time.Time, o store.Object)
		// Remove takes in that an object is gone.
		Remove(now time.Time, key string)
		// Resumed is called before Replace when the store answers again after
		// it had been away for a time.
		Resumed(now time.Time, away time.Duration)
	}

	// Follower keeps a Sink up to date with the objects of a kind.
	//
	// A watch whose connection has gone silent is noticed when its wait has
	// passed. Only scouts wait for a short time; the others wait long and are
	// told by Hint of changes that another entry has seen and they have not.
	Follower struct {
		// Feed is the store's feed of the objects.
		Feed store.Feed
		// Timeout is how long Feed waits for an answer beyond the wait that the
		// store was asked for.
		Timeout time.Duration
		// Kind is the objects' kind.
		Kind Kind
		// Scout tells whether this entry is one of those that notice an outage
		// for all.
		Scout func() bool
		// ShortWait is how long a scout's watch waits at the store.
		ShortWait time.Duration
		// LongWait is how long the other watches wait.
		LongWait time.Duration
		// Batch is the pause after changes came, in which further ones gather.
		Batch time.Duration
		// Patience is how long after a Hint a watch may still bring the change.
		Patience time.Duration
		// Sink takes in what is learnt.
		Sink Sink
		// Log gets a line when the store is lost and regained.
		Log *slog.Logger

		gap   bool // changes may have been missed since the last list
		retry time.Duration
		wake  chan struct{}

		// applying is held while Sink takes something in, together with the
		// change of latest that belongs to it.
		applying sync.Mutex

		mu       sync.Mutex
		lost     bool
		heard    time.Time     // when the store answered last
		regained time.Time     // since when it has answered all along
		covered  store.Version // all changes up to here are known
		latest   store.Version // the newest change that is known
		hint     store.Version // the newest change that another entry knows
		behind   context.CancelCauseFunc
	}
)

var errBehind = errors.New("another entry has seen a later change")

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		all, rev, err := f.Feed.All(ctx)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.listed(all, rev)
		f.watch(ctx, rev)
	}
}

// Latest returns the version of the newest change that is known.
func (f *Follower) Latest() store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest
}

// Hint takes in that another entry knows a change. If a watch doesn't bring it in
// time, the objects are listed anew.
func (f *Follower) Hint(rev store.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rev <= f.covered || rev <= f.hint {
		return
	}
	f.hint = rev
	if f.lost {
		// The others reach the store: it is worth another try at once.
		f.wakeUp()
		return
	}
	time.AfterFunc(f.Patience, func() { f.check(rev) })
}

// Missing tells whether the store doesn't answer, and either never did or another
// entry knows a change that this one doesn't.
func (f *Follower) Missing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost && (f.latest == 0 || f.hint > f.latest)
}

// Adopt takes in by take what another entry knows, which is up to date with a
// version. It returns false, and doesn't call take, if this entry knows as much.
func (f *Follower) Adopt(version store.Version, take func()) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	known := f.latest
	f.latest = max(known, version)
	f.mu.Unlock()
	if version <= known {
		return false
	}
	f.Log.Info("taken over from another entry", "kind", f.Kind, "version", version, "before", known)
	take()
	return true
}

// Capture calls read with the version of what is known, which read may copy. It
// is not called if nothing is.
func (f *Follower) Capture(read func(version store.Version)) {
	f.applying.Lock()
	defer f.applying.Unlock()
	if version := f.Latest(); version > 0 {
		read(version)
	}
}

// Age returns how long ago the store answered last.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.heard)
}

// Steady returns for how long the store has answered all along, as far as that
// is known; 0 if it does not or if the last answer is too old to tell.
func (f *Follower) Steady(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost || now.Sub(f.heard) > f.ShortWait+f.Timeout {
		return 0
	}
	return now.Sub(f.regained)
}

// check ends a watch that has not brought a change.
func (f *Follower) check(rev store.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.covered < rev && f.behind != nil {
		f.Log.Warn("watch is behind", "kind", f.Kind, "covered", f.covered, "change", rev)
		f.behind(errBehind)
	}
}

// watch takes in changes until they can't be had any more without a new list.
func (f *Follower) watch(ctx context.Context, rev store.Version) {
	for ctx.Err() == nil {
		wait := f.LongWait
		if f.Scout() {
			wait = f.ShortWait
		}
		changes, next, err := f.ask(ctx, rev, wait)
		switch {
		case errors.Is(err, store.ErrCompacted):
			f.Log.Info("history of the store gone", "kind", f.Kind, "version", rev)
			f.gap = true
			return
		case errors.Is(err, errBehind):
			return
		case err != nil:
			// A new list is asked for at once: the watch may just have been cut.
			f.Log.Info("watch ended", "kind", f.Kind, "version", rev, "err", err)
			f.gap = true
			return
		}
		rev = next
		f.changed(changes, next)
		if len(changes) > 0 {
			sleep(ctx, f.Batch)
		}
	}
}

// ask makes one watch call, which Hint may end.
func (f *Follower) ask(ctx context.Context, rev store.Version, wait time.Duration) ([]store.Change, store.Version, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	f.behind = cancel
	if f.hint > rev {
		hint := f.hint
		time.AfterFunc(f.Patience, func() { f.check(hint) })
	}
	f.mu.Unlock()
	changes, next, err := f.Feed.Changes(ctx, rev, wait)
	f.mu.Lock()
	f.behind = nil
	f.mu.Unlock()
	if errors.Is(context.Cause(ctx), errBehind) {
		return nil, 0, errBehind
	}
	return changes, next, err
}

// changed takes in the answer of a watch.
func (f *Follower) changed(changes []store.Change, covered store.Version) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.answered()
	f.mu.Lock()
	before := f.latest
	for i := range changes {
		f.latest = max(f.latest, changes[i].Version)
	}
	if len(changes) > 0 && f.latest == before {
		// The changes name no new version; the newest is at most this one.
		f.latest = covered
	}
	f.covered = covered
	f.mu.Unlock()
	now := time.Now()
	for i := range changes {
		if changes[i].Removed {
			f.Sink.Remove(now, changes[i].Key)
			continue
		}
		f.Sink.Change(now, changes[i].Object)
	}
}

// listed takes in a list.
func (f *Follower) listed(all []store.Object, covered store.Version) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	f.covered = covered
	for _, o := range all {
		f.latest = max(f.latest, o.Version)
	}
	f.latest = max(f.latest, min(f.hint, covered))
	if f.gap {
		// Objects may have been removed meanwhile, which a list doesn't show.
		f.latest, f.gap = covered, false
	}
	f.mu.Unlock()
	f.answered()
	f.Sink.Replace(time.Now(), all)
}

func (f *Follower) answered() {
	now := time.Now()
	f.mu.Lock()
	lost, away := f.lost, now.Sub(f.heard)
	if lost || f.regained.IsZero() {
		f.regained = now
	}
	f.heard, f.lost, f.retry = now, false, 0
	f.mu.Unlock()
	if lost {
		f.Log.Info("store regained", "kind", f.Kind, "away", away)
		f.Sink.Resumed(now, away)
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	if !f.lost {
		f.Log.Warn("store lost", "kind", f.Kind, "err", err)
	}
	f.lost, f.gap = true, true
	f.mu.Unlock()
	limit := idleRetry
	if f.Scout() {
		limit = scoutRetry
	}
	f.retry = min(max(2*f.retry, firstRetry), limit)
	select {
	case <-time.After(f.retry):
	case <-f.wakes():
	case <-ctx.Done():
	}
}

// wakes returns the channel that ends a pause after a failed call.
func (f *Follower) wakes() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wake == nil {
		f.wake = make(chan struct{}, 1)
	}
	return f.wake
}

// wakeUp ends a pause after a failed call, or the next one. The caller holds mu.
func (f *Follower) wakeUp() {
	if f.wake == nil {
		f.wake = make(chan struct{}, 1)
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
