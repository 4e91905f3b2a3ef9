// Package follow keeps an entry's local state up to date with the objects in the
// platform's store.
//
// A [Follower] lists the objects of one kind and then watches them by consecutive
// long polls. As most polls return nothing and only confirm that the connection is
// alive, only a few entries, the short-poll entries, use a short wait. Entries
// send each other the version of the newest change that they have applied
// (invalidation); an entry that doesn't receive that change from the store in time
// lists the objects again. While the store is unavailable, an entry can bootstrap
// from the state of a peer; the version of the newest change ensures that it never
// applies an older state than its own.
//
// The store may be restored from an older copy, which its answers show by a later
// era. The objects are then listed again, as the changes since the copy are lost and
// their revisions given out again. Answers of an earlier era, which a slow connection
// may still deliver, are dropped.
//
// # Usage
//
//	f := &follow.Follower{Feed: feed, Kind: follow.Servers, Sink: sink, ShortPoll: isShortPoll, Log: log}
//	go f.Run(ctx)
//	f.Invalidate(version)                // another entry has applied this change
//	f.Bootstrap(version, func() { ... }) // applies the state of another entry
package follow

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/store"
)

const (
	// firstRetry is the initial delay after a failed call, doubled for each
	// further failure up to a limit. The store's rate limit allows each of
	// hundreds of entries a few calls a second.
	firstRetry = 50 * time.Millisecond
	// shortPollMaxRetry is that limit for short-poll entries, longPollMaxRetry
	// for others.
	shortPollMaxRetry = 400 * time.Millisecond
	longPollMaxRetry  = 1600 * time.Millisecond
	// shortPollCheck is the interval of checks during a watch with the long wait whether this
	// entry has become a short-poll entry.
	shortPollCheck = 500 * time.Millisecond
	// answerTime is the time in which the store's answer usually begins to arrive. As entries that
	// hear of a change call the store at once, they have no need of a peer's state before.
	answerTime = 150 * time.Millisecond
)

// Kinds of objects that an entry follows.
const (
	// Servers are the registrations of backend servers.
	Servers Kind = "servers"
	// Configuration is the configuration set by operators.
	Configuration Kind = "configuration"
	// EvacuatedZones are the zones whose servers receive no requests.
	EvacuatedZones Kind = "evacuatedZones"
)

type (
	// Kind identifies a kind of objects, in messages between entries and in logs.
	Kind string

	// Sink receives the objects and changes of a kind. Its methods are not
	// called concurrently.
	Sink interface {
		// Replace applies a complete list of the objects.
		Replace(now time.Time, all []store.Object)
		// Change applies a created or modified object.
		Change(now time.Time, o store.Object)
		// Remove applies the removal of an object.
		Remove(now time.Time, key string)
		// StoreRecovered is called before Replace when the store is available again
		// after an outage, with the time since its last answer.
		StoreRecovered(now time.Time, outage time.Duration)
		// StoreRestored is called before the state of a later era is applied, which is
		// from the store or a peer and may be older than the state applied before. It
		// is called again before the first list of an era if a peer's state of that
		// era has been applied. It is called after StoreRecovered.
		StoreRestored(now time.Time, before, after store.Version)
	}

	// Follower keeps a Sink up to date with the objects of a kind.
	//
	// A stalled watch is detected when its wait has expired. Only short-poll
	// entries use a short wait; the others use a long one and are notified by
	// Invalidate of changes that another entry has applied and they have not. An entry
	// that hears no others becomes a short-poll entry, which ends its long wait.
	Follower struct {
		// Feed is the store's feed of the objects. It may be a RelayFeed.
		Feed store.Feed
		// Timeout is how long Feed waits for an answer beyond the wait that was
		// requested from the store.
		Timeout time.Duration
		// Kind is the objects' kind.
		Kind Kind
		// ShortPoll reports whether this entry is a short-poll entry, which detects
		// outages on behalf of all.
		ShortPoll func() bool
		// ShortWait is the requested wait of a watch on a short-poll entry.
		ShortWait time.Duration
		// LongWait is the requested wait of a watch on other entries.
		LongWait time.Duration
		// Batch is the delay between an answer with changes and the next watch
		// call, so that further changes arrive together.
		Batch time.Duration
		// StallTimeout is how long after a call of Invalidate the watch may take to
		// deliver the change before the objects are listed again.
		StallTimeout time.Duration
		// Resume makes a watch that has failed continue from its version. Otherwise the objects
		// are listed again, as for kinds whose objects may lapse while the store is away. It
		// saves the transfer of large objects that haven't changed.
		Resume bool
		// Sink receives the objects and their changes.
		Sink Sink
		// OnCatchUp, unless nil, is called after a list that may hold changes that the
		// watch before it missed. Other entries may miss them too until they hear of them.
		OnCatchUp func()
		// Confirmed, unless nil, is called after the contents of a list or of a watch's
		// answer have been applied, with the time on Clock at which the call was started:
		// the applied objects were the newest at that time. It is not called for answers
		// of older eras, nor for watches that were cancelled. It is not called
		// concurrently with Sink.
		Confirmed func(started boottime.Instant, era store.Era)
		// Clock is the clock of Confirmed; it must be set if that is.
		Clock boottime.Clock
		// Recorder, unless nil, receives the applied answers.
		Recorder Recorder
		// Log receives a line when the store becomes unavailable or available
		// again, when it has been restored from an older copy, and when the objects
		// have to be listed again.
		Log *slog.Logger
		// Metrics receives the counters and gauges of the store's eras; nil means
		// none.
		Metrics *metrics.Set

		onEra func(store.Era) // called with each later era, may be nil
		gap   bool            // changes may have been missed since the last list
		cause listCause       // of the next list
		retry time.Duration
		wake  chan struct{}

		// applying is held while latest is updated and Sink applies the
		// corresponding state.
		applying sync.Mutex
		// applied holds the versions of the applied objects, nil if they aren't known. It is
		// guarded by applying.
		applied map[string]store.Version
		// order is guarded by applying.
		order order

		mu             sync.Mutex
		unavailable    bool
		answeredAt     time.Time     // time of the store's last answer
		availableSince time.Time     // start of the current period without an outage or restore
		era            store.Era     // the latest era in any answer of the store
		covered        store.Version // all changes up to this version have been received from the store
		latest         store.Version // the newest change that has been applied
		invalidation   store.Version // the newest change that another entry has applied
		behindSince    time.Time     // time since which covered is before invalidation, zero if it isn't
		cancelWatch    context.CancelCauseFunc
		// due is when the answer to the first call since the store's last answer was due, zero if
		// no call has been made since.
		due time.Time
		// calledAt is the beginning of the call in progress, zero if there is none.
		calledAt time.Time
	}
)

var (
	errStalled   = errors.New("another entry has applied a later change")
	errShortPoll = errors.New("this entry has become a short-poll entry")
)

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.registerMetrics()
	for ctx.Err() == nil {
		f.countList()
		started := f.clock() // before the call of the first page
		f.expectAnswer(0)
		all, rev, err := f.Feed.All(ctx)
		f.endCall(err)
		if err == nil && f.rejects(rev) {
			continue
		}
		if err == nil && !f.admitEra(rev) {
			err = errOlderEra
		}
		if err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		before := f.Latest()
		if !f.applyList(all, rev, started) || before.Before(f.Latest()) && f.prefersList() {
			continue
		}
		f.watch(ctx, rev)
	}
}

// Latest returns the version of the newest change that has been applied.
func (f *Follower) Latest() store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest
}

// Invalidate records that another entry has applied a change. If the watch doesn't
// deliver it within StallTimeout, the objects are listed again.
func (f *Follower) Invalidate(rev store.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.covered.Before(rev) || !f.invalidation.Before(rev) {
		return
	}
	f.invalidation = rev
	if f.behindSince.IsZero() {
		f.behindSince = time.Now()
	}
	if f.unavailable {
		// Another entry can reach the store, so retry immediately.
		f.wakeRetry()
		return
	}
	f.awaitChange(rev)
}

// NeedsPeerState reports whether the store is unavailable and this entry lacks state
// that a peer may have: it has none at all, or another entry has applied a later
// change. An answer of the store that is arriving, or that a call which has just begun
// may get, will have it, and would take longer beside that of a peer.
func (f *Follower) NeedsPeerState() bool {
	if f.receiving() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.calledAt.IsZero() && time.Since(f.calledAt) < answerTime {
		return false
	}
	return f.unavailable && (f.latest.IsZero() || f.newest().Before(f.invalidation))
}

// newest returns a lower bound of what a later state must have: the version of the
// newest applied change, or the start of the store's era if that is later. The caller
// must hold mu.
func (f *Follower) newest() store.Version {
	return store.Latest(f.latest, store.Version{Era: f.era})
}

// Bootstrap calls apply, which must apply the state of another entry as of a version.
// It returns false, without calling apply, if this entry's own state is at least as
// recent.
func (f *Follower) Bootstrap(version store.Version, apply func()) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	known, newer := f.latest, f.newest().Before(version)
	if newer {
		f.latest = version
	}
	f.mu.Unlock()
	if !newer {
		return false
	}
	f.admitEra(version)
	if !known.IsZero() && known.Era < version.Era {
		f.handleRestore(time.Now(), known, version, "entry")
	}
	f.order.bootstrapped(version)
	f.applied = nil // the sink's objects are those of the other entry
	f.Log.Info("taken over from another entry", "kind", f.Kind, "version", version, "before", known)
	apply()
	return true
}

// Capture calls read with the version of the applied state, which can't change until
// read returns. It doesn't call read if no state has been applied.
func (f *Follower) Capture(read func(version store.Version)) {
	f.applying.Lock()
	defer f.applying.Unlock()
	if version := f.Latest(); !version.IsZero() {
		read(version)
	}
}

// Unavailable reports whether the latest call has failed.
func (f *Follower) Unavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unavailable
}

// Overdue returns for how long an answer of the store has been due: that to a list since the
// call, that to a watch since the end of its wait. It returns 0 if none is due, and if the latest
// answer was of another entry: that one observes the store.
func (f *Follower) Overdue(now time.Time) time.Duration {
	if f.origin().Relayed() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.due.IsZero() {
		return 0
	}
	return max(now.Sub(f.due), 0)
}

// expectAnswer records when the answer to a call with the given wait is due. An answer that was due
// before and didn't come stays due.
func (f *Follower) expectAnswer(wait time.Duration) {
	now := time.Now()
	due := now.Add(wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calledAt = now
	if f.due.IsZero() || due.Before(f.due) {
		f.due = due
	}
}

// endCall records the end of a call, which was an answer unless the call failed.
func (f *Follower) endCall(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calledAt = time.Time{}
	if err != nil && !isAnswer(err) {
		return
	}
	f.due = time.Time{}
}

// isAnswer reports whether an error of a watch is an answer of the store.
func isAnswer(err error) bool {
	return errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored)
}

// Age returns the time since the store's last answer.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.answeredAt)
}

// AvailableFor returns for how long the store has been available without
// interruption; 0 if it is unavailable or its last answer is older than ShortWait +
// Timeout.
func (f *Follower) AvailableFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable || now.Sub(f.answeredAt) > f.ShortWait+f.Timeout {
		return 0
	}
	return now.Sub(f.availableSince)
}

// Behind returns for how long this entry has known of a change that it hasn't received, 0 if
// there is none.
func (f *Follower) Behind(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.behindSince.IsZero() {
		return 0
	}
	return now.Sub(f.behindSince)
}

// cover records that all changes up to a version have been received. The caller must hold mu.
func (f *Follower) cover(version store.Version) {
	f.covered = version
	if !version.Before(f.invalidation) {
		f.behindSince = time.Time{}
	}
}

// checkStalled cancels a watch that has not delivered a change, unless an answer is arriving.
func (f *Follower) checkStalled(rev store.Version) {
	receiving := f.receiving()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.covered.Before(rev) || f.cancelWatch == nil {
		return
	}
	if receiving {
		time.AfterFunc(f.StallTimeout, func() { f.checkStalled(rev) })
		return
	}
	f.Log.Warn("watch is behind", "kind", f.Kind, "covered", f.covered, "change", rev)
	f.cancelWatch(errStalled)
}

// receiving reports whether an answer is arriving. A call that is made instead would take as
// long on the same link.
func (f *Follower) receiving() bool {
	r, ok := f.Feed.(store.Receiver)
	return ok && r.Receiving()
}

// watch applies changes until a new list is required.
func (f *Follower) watch(ctx context.Context, rev store.Version) {
	slept, failed := time.Duration(0), false
	for ctx.Err() == nil {
		wait := f.LongWait
		switch {
		case failed:
			wait = 0 // shows at once whether the store answers again
		case f.ShortPoll():
			wait = f.ShortWait
		}
		// The delay counts toward the wait: a watch that begins from a revision that a
		// restored store has given out again is told of the restore only at the end.
		started := f.clock()
		changes, next, err := f.poll(ctx, rev, max(wait-slept, 0))
		slept = 0
		switch {
		case err == nil:
		case errors.Is(err, errShortPoll):
			continue
		case errors.Is(err, errOlderEra):
			f.delayRetry(ctx)
			continue
		case f.resumes(err):
			f.Log.Info("watch ended", "kind", f.Kind, "version", rev, "err", err)
			if failed {
				f.handleFailure(ctx, err)
				if f.prefersList() {
					return
				}
			}
			failed = true
			continue
		default:
			f.endWatch(rev, err)
			return
		}
		rev, failed, f.gap = next, false, false // the changes since the version are known
		f.applyChanges(changes, next, started)
		if len(changes) > 0 && !f.origin().Relayed() {
			sleep(ctx, f.Batch)
			slept = f.Batch
			if f.prefersList() {
				return
			}
		}
	}
}

// prefersList reports whether a list is the better call after an answer of the store that held
// changes, or after an outage: another entry has a later change, and the answer to a watch would
// hold all versions of a large object since, a list only the latest.
func (f *Follower) prefersList() bool {
	if !f.Resume || f.origin().Relayed() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.covered.Before(f.invalidation) {
		return false
	}
	f.cause = listBehind
	return true
}

// resumes reports whether a watch that has ended with an error continues from its version. An
// answer that can't be used would be the same again.
func (f *Follower) resumes(err error) bool {
	return f.Resume && !isAnswer(err) && !errors.Is(err, store.ErrUnusable) && !errors.Is(err, errStalled) && !errors.Is(err, errRestored)
}

// endWatch records why the objects are listed after a watch.
func (f *Follower) endWatch(rev store.Version, err error) {
	switch {
	case errors.Is(err, errStalled):
		f.cause = listBehind
		return
	case errors.Is(err, store.ErrCompacted):
		f.Log.Info("history of the store compacted", "kind", f.Kind, "version", rev)
		f.cause = listCompacted
	case errors.Is(err, errRestored), errors.Is(err, store.ErrRestored):
		f.cause = listRestored
	default:
		// The objects are listed immediately: it may be just the connection that was closed.
		f.Log.Info("watch ended", "kind", f.Kind, "version", rev, "err", err)
		f.cause = listFailed
	}
	f.gap = true
}

// poll makes one watch call, which checkStalled or ObserveEra may cancel.
func (f *Follower) poll(ctx context.Context, rev store.Version, wait time.Duration) ([]store.Change, store.Version, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	if rev.Era < f.era {
		f.mu.Unlock()
		return nil, store.Version{}, errRestored
	}
	f.cancelWatch = cancel
	if rev.Before(f.invalidation) {
		f.awaitChange(f.invalidation)
	}
	f.mu.Unlock()
	if wait > f.ShortWait {
		go f.shorten(ctx, cancel)
	}
	f.expectAnswer(wait)
	changes, next, err := f.Feed.Changes(ctx, rev, wait)
	f.endCall(err)
	f.mu.Lock()
	f.cancelWatch = nil
	f.mu.Unlock()
	cause := context.Cause(ctx)
	// The answer may have arrived at the time of the cancellation.
	shortened := errors.Is(cause, errShortPoll) && err != nil && !isAnswer(err)
	if shortened || errors.Is(cause, errStalled) || errors.Is(cause, errRestored) {
		return nil, store.Version{}, cause
	}
	if err == nil {
		err = f.checkEra(rev, next)
	}
	return changes, next, err
}

// shorten cancels a watch with the long wait once this entry is a short-poll entry. If the
// answer to the watch was lost, an entry that hears no others would not learn of the change
// before the end of the long wait.
func (f *Follower) shorten(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(shortPollCheck)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if f.ShortPoll() {
				cancel(errShortPoll)
				return
			}
		}
	}
}

// applyChanges applies the answer to a watch call.
func (f *Follower) applyChanges(changes []store.Change, covered store.Version, started boottime.Instant) {
	f.applying.Lock()
	defer f.applying.Unlock()
	origin := f.origin()
	f.recordAnswer(origin)
	f.mu.Lock()
	before := f.latest
	for i := range changes {
		f.latest = store.Latest(f.latest, changes[i].Version)
	}
	if origin.Relayed() {
		f.latest = store.Latest(f.latest, relayedLatest(origin, covered))
	} else if len(changes) > 0 && f.latest == before {
		// No change has a new version; covered is an upper bound for the newest.
		f.latest = covered
	}
	f.cover(covered)
	f.mu.Unlock()
	now, due := time.Now(), f.order.changes(changes, covered)
	for i := range due {
		f.noteChange(&due[i])
		if due[i].Removed {
			f.Sink.Remove(now, due[i].Key)
			continue
		}
		f.Sink.Change(now, due[i].Object)
	}
	if !origin.Relayed() {
		f.confirm(started, covered.Era)
	}
	f.recordChanges(changes, covered, origin)
}

// applyList applies a list. It returns false if another entry's later state was applied while
// the list arrived, so that the objects have to be listed again.
func (f *Follower) applyList(listed []store.Object, covered store.Version, started boottime.Instant) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	origin := f.origin()
	all, ok := f.order.list(slices.Clone(listed), covered)
	if !ok {
		f.Log.Info("list older than the state of another entry left out", "kind", f.Kind, "version", covered, "applied", f.Latest())
		f.recordAnswer(origin)
		f.cause = listBehind
		return false
	}
	f.mu.Lock()
	before := store.Latest(f.latest, f.covered)
	restored := !before.IsZero() && f.covered.Era < covered.Era
	changed, removed := f.compare(all)
	caughtUp := f.gap && (changed || removed) && !origin.Relayed() && !before.IsZero() && before.Before(covered)
	f.coverList(all, covered, origin, restored || f.gap && removed)
	if restored {
		f.availableSince = time.Now()
	}
	f.mu.Unlock()
	f.noteList(all)
	f.recordAnswer(origin)
	if restored {
		f.handleRestore(time.Now(), before, covered, "store")
	}
	f.Sink.Replace(time.Now(), all)
	if !origin.Relayed() {
		f.confirm(started, covered.Era)
	}
	f.recordList(listed, covered, origin)
	if caughtUp && f.OnCatchUp != nil {
		f.OnCatchUp()
	}
	return true
}

// coverList updates the versions for a list; lost is whether changes were missed that don't
// appear in it, such as removals. The caller must hold mu.
func (f *Follower) coverList(all []store.Object, covered store.Version, origin Origin, lost bool) {
	f.cover(covered)
	for _, o := range all {
		f.latest = store.Latest(f.latest, o.Version)
	}
	switch {
	case !covered.Before(f.invalidation):
		f.latest = store.Latest(f.latest, f.invalidation)
	case !origin.Relayed():
		f.latest = store.Latest(f.latest, covered)
	}
	if origin.Relayed() {
		f.latest, f.gap = store.Latest(f.latest, relayedLatest(origin, covered)), false
		return
	}
	f.gap = false
	if lost {
		f.latest = covered
	}
}

// compare reports whether a list has objects that were created or changed since the applied
// state, and whether it may lack some that were removed.
func (f *Follower) compare(all []store.Object) (changed, removed bool) {
	if f.applied == nil {
		return true, true
	}
	known := 0
	for i := range all {
		version, ok := f.applied[all[i].Key]
		if ok {
			known++
		}
		changed = changed || !ok || version != all[i].Version
	}
	return changed, known < len(f.applied)
}

// noteList records the versions of a list that is applied.
func (f *Follower) noteList(all []store.Object) {
	f.applied = make(map[string]store.Version, len(all))
	for i := range all {
		f.applied[all[i].Key] = all[i].Version
	}
}

// noteChange records the version of a change that is applied.
func (f *Follower) noteChange(c *store.Change) {
	switch {
	case f.applied == nil:
	case c.Removed:
		delete(f.applied, c.Key)
	default:
		f.applied[c.Key] = c.Version
	}
}

// recordAnswer records an answer. To this entry the store counts as available as far as
// the entry of the answer's origin reports.
func (f *Follower) recordAnswer(origin Origin) {
	now := time.Now()
	answeredAt := now.Add(-origin.Age)
	f.mu.Lock()
	wasUnavailable, outage := f.unavailable, now.Sub(f.answeredAt)
	if wasUnavailable || f.availableSince.IsZero() {
		f.availableSince = now
	}
	if answeredAt.After(f.answeredAt) {
		f.answeredAt = answeredAt
	}
	f.unavailable, f.retry = false, 0
	f.mu.Unlock()
	if wasUnavailable {
		f.Log.Info("store regained", "kind", f.Kind, "away", outage)
		f.Sink.StoreRecovered(now, outage)
	}
}

func (f *Follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	if !f.unavailable {
		f.Log.Warn("store lost", "kind", f.Kind, "err", err)
	}
	f.unavailable, f.gap, f.cause = true, true, listFailed
	f.mu.Unlock()
	if f.Recorder != nil {
		f.Recorder.RecordFailure()
	}
	f.delayRetry(ctx)
}

// delayRetry delays the next call after a failed one.
func (f *Follower) delayRetry(ctx context.Context) {
	limit := longPollMaxRetry
	if f.ShortPoll() {
		limit = shortPollMaxRetry
	}
	f.retry = min(max(2*f.retry, firstRetry), limit)
	select {
	case <-time.After(f.retry):
	case <-f.wakeChan():
	case <-ctx.Done():
	}
}

// wakeChan returns the channel that ends the delay after a failed call.
func (f *Follower) wakeChan() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wake == nil {
		f.wake = make(chan struct{}, 1)
	}
	return f.wake
}

// wakeRetry ends the delay after a failed call, or the next such delay. The caller
// must hold mu.
func (f *Follower) wakeRetry() {
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
