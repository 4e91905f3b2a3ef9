package relayfeed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// checkInterval is the interval of checks whether a leader is still to be asked.
	checkInterval = 200 * time.Millisecond
	// defaultSilence tolerates the loss of two consecutive heartbeats of a leader.
	defaultSilence = 1600 * time.Millisecond
)

type (
	// Feed is a store.Feed that asks a leader of this entry's availability zone, or the
	// store. It implements follow.RelayFeed. Its exported fields must be set before its
	// first use. In contrast to other feeds, its methods All and Changes must not be called
	// concurrently.
	Feed struct {
		// Self is this entry's name.
		Self id.Instance
		// Kind is the kind of the objects.
		Kind follow.Kind
		// Store is the feed of the store.
		Store store.Feed
		// Peers calls the other entries. Its connections are kept.
		Peers peer.Caller
		// Leaders returns the leaders to ask, none if this entry is a leader itself or
		// has to follow the store for another reason.
		Leaders func(now time.Time) []Leader
		// Timeout limits a call to a leader, in addition to the requested wait.
		Timeout time.Duration
		// MaxSilence is the time without a heartbeat from which a leader isn't asked; 0
		// means 1.6 s.
		MaxSilence time.Duration
		// Log receives a line when the source of the changes differs from before.
		Log *slog.Logger
		// Metrics receives the counters of reads by source and of leaders left; nil means none.
		Metrics *metrics.Set

		mu       sync.Mutex
		selector *selector
		origin   follow.Origin
		asked    id.Instance // the leader that is being asked, empty if none is
		source   id.Instance // the one logged last, empty for the store
		cancel   context.CancelCauseFunc
	}

	// receiver is implemented by callers of entries that know whether an answer of one is
	// arriving.
	receiver interface {
		Receiving(from id.Instance) bool
	}

	// statusError is an answer without changes.
	statusError struct{ status status }
)

var (
	errLate      = errors.New("late with a change")
	errNoLeader  = errors.New("silent or no leader any more")
	errOlder     = errors.New("list is older or of another era")
	errRegressed = errors.New("answer is before the requested version")

	_ follow.RelayFeed = (*Feed)(nil)
	_ store.Receiver   = (*Feed)(nil)
)

func (e *statusError) Error() string { return "leader answered " + string(e.status) }

// temporary reports whether the leader itself expects to answer again.
func (e *statusError) temporary() bool {
	return e.status == unavailable || e.status == settling || e.status == indirect || e.status == stopping
}

// All implements store.Feed.
func (f *Feed) All(ctx context.Context) ([]store.Object, store.Version, error) {
	for ctx.Err() == nil {
		leader, _, ok := f.pick()
		if !ok {
			break
		}
		a, err := f.ask(ctx, leader, &request{Kind: f.Kind, List: true})
		if err == nil {
			f.accept(leader, a)
			return objects(a), a.Version, nil
		}
		f.leave(ctx, leader, err)
	}
	if err := ctx.Err(); err != nil {
		return nil, store.Version{}, err
	}
	f.useStore()
	return f.Store.All(ctx)
}

// Changes implements store.Feed. It may return before the wait has passed without a change.
func (f *Feed) Changes(ctx context.Context, after store.Version, wait time.Duration) ([]store.Change, store.Version, error) {
	began := time.Now()
	for ctx.Err() == nil {
		leader, proven, ok := f.pick()
		if !ok {
			break
		}
		r := &request{Kind: f.Kind, After: after, Wait: min(wait, maxWait)}
		if !proven {
			// Shows at once whether the leader answers.
			r.Wait = 0
		}
		a, err := f.ask(ctx, leader, r)
		switch {
		case err == nil && !a.Version.Before(after):
			f.accept(leader, a)
			return changes(a), a.Version, nil
		case err == nil:
			err = errRegressed
		}
		var s *statusError
		if errors.As(err, &s) && s.status == compacted {
			f.Log.Info("entry doesn't have the changes any more", "kind", f.Kind, "instance", leader, "version", after)
			return nil, store.Version{}, store.ErrCompacted
		}
		f.leave(ctx, leader, err)
		if errors.Is(err, errLate) {
			break // another leader may be late too
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, store.Version{}, err
	}
	f.useStore()
	return f.Store.Changes(ctx, after, max(wait-time.Since(began), 0))
}

// Origin implements follow.RelayFeed.
func (f *Feed) Origin() follow.Origin {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.origin
}

// Redirect implements follow.RelayFeed.
func (f *Feed) Redirect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel(errLate)
	}
}

// Reject implements follow.RelayFeed.
func (f *Feed) Reject() {
	if o := f.Origin(); o.Relayed() {
		f.leave(context.Background(), o.Entry, errOlder)
	}
}

// Receiving implements store.Receiver.
func (f *Feed) Receiving() bool {
	f.mu.Lock()
	asked := f.asked
	f.mu.Unlock()
	if asked != "" {
		r, ok := f.Peers.(receiver)
		return ok && r.Receiving(asked)
	}
	r, ok := f.Store.(store.Receiver)
	return ok && r.Receiving()
}

// ask calls a leader. It gives up when the leader is not to be asked any more.
func (f *Feed) ask(ctx context.Context, leader id.Instance, r *request) (*answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.setCall(leader, cancel)
	defer f.setCall("", nil)
	go f.check(ctx, leader, cancel)
	r.Packed = true
	a, err := f.call(ctx, leader, r)
	if err == nil {
		err = a.unpack()
	}
	if err == nil && a.Status != answered {
		err = &statusError{a.Status}
	}
	return a, err
}

// call makes a call that ends with ctx, also when it waits beyond its deadline for an answer that
// is arriving.
func (f *Feed) call(ctx context.Context, leader id.Instance, r *request) (*answer, error) {
	limited, stop := context.WithTimeout(ctx, r.Wait+f.Timeout)
	defer stop()
	a, done := new(answer), make(chan error, 1)
	go func() { done <- f.Peers.Call(limited, leader, Method, r, a) }()
	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		if errors.Is(limited.Err(), context.DeadlineExceeded) {
			return nil, context.Cause(ctx)
		}
		err = <-done
	}
	if cause := context.Cause(limited); err != nil && cause != nil {
		err = cause
	}
	return a, err
}

// setCall records the call in progress, to no leader if there is none.
func (f *Feed) setCall(leader id.Instance, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked, f.cancel = leader, cancel
}

// check cancels a call when the leader is not to be asked any more, unless its answer is arriving:
// heartbeats may be lost on a link that the answer fills.
func (f *Feed) check(ctx context.Context, leader id.Instance, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.mu.Lock()
			f.observe(now)
			usable := f.selector.usable(now, leader)
			f.mu.Unlock()
			if !usable && !f.Receiving() {
				cancel(errNoLeader)
				return
			}
		}
	}
}

// pick returns the leader to ask.
func (f *Feed) pick() (leader id.Instance, proven, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.observe(now)
	return f.selector.pick(now)
}

// observe updates the leaders. The caller must hold mu.
func (f *Feed) observe(now time.Time) {
	if f.selector == nil {
		silence := f.MaxSilence
		if silence == 0 {
			silence = defaultSilence
		}
		f.selector = &selector{self: f.Self, maxSilence: silence, draw: rand.N[time.Duration]}
	}
	f.selector.observe(now, f.Leaders(now))
}

// accept records an answer of a leader.
func (f *Feed) accept(leader id.Instance, a *answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.selector.succeed(time.Now(), leader)
	f.origin = follow.Origin{Entry: leader, Age: max(a.Age, 0), Latest: a.Latest}
	f.count(fmt.Sprintf(`shallotpier_follow_reads_total{kind=%q,source="entry"}`, f.Kind))
	if f.source != leader {
		f.Log.Info("following the store through another entry", "kind", f.Kind, "instance", leader, "before", f.source, "version", a.Version, "age", a.Age)
		f.source = leader
	}
}

// leave records that a leader is not asked for a while. The end of ctx is not its failure.
func (f *Feed) leave(ctx context.Context, leader id.Instance, reason error) {
	if ctx.Err() != nil && !errors.Is(reason, errLate) {
		return
	}
	var e *jsonrpc2.Error
	unknown := eris.As(reason, &e) && e.Code == jsonrpc2.CodeMethodNotFound
	f.mu.Lock()
	defer f.mu.Unlock()
	hold := time.Duration(0)
	var refused *statusError
	if errors.As(reason, &refused) && refused.temporary() {
		hold = f.selector.pause(time.Now(), leader)
	} else {
		hold = f.selector.fail(time.Now(), leader, unknown)
	}
	f.count(fmt.Sprintf(`shallotpier_follow_leaders_left_total{kind=%q}`, f.Kind))
	if f.source == leader {
		f.Log.Info("entry not used for following the store", "kind", f.Kind, "instance", leader, "hold", hold, "reason", reason)
	}
}

// useStore records that the next answer is from the store.
func (f *Feed) useStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.origin = follow.Origin{}
	f.count(fmt.Sprintf(`shallotpier_follow_reads_total{kind=%q,source="store"}`, f.Kind))
	if f.source != "" {
		f.Log.Info("following the store itself", "kind", f.Kind, "before", f.source)
		f.source = ""
	}
}

func (f *Feed) count(counter string) {
	if f.Metrics != nil {
		f.Metrics.GetOrCreateCounter(counter).Inc()
	}
}

func objects(a *answer) []store.Object {
	out := make([]store.Object, 0, len(a.Changes))
	for i := range a.Changes {
		out = append(out, a.Changes[i].Object)
	}
	return out
}

func changes(a *answer) []store.Change {
	out := make([]store.Change, 0, len(a.Changes))
	for i := range a.Changes {
		out = append(out, store.Change{Object: a.Changes[i].Object, Removed: a.Changes[i].Removed})
	}
	return out
}
