package follow_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
	"github.com/shallotpier/shallotpier/internal/standin/link"
	"github.com/shallotpier/shallotpier/internal/store"
)

// appliedAt is a sink that keeps the times at which the values of main were applied.
type appliedAt struct {
	table

	mu    sync.Mutex
	times map[string]time.Time
}

func (a *appliedAt) Replace(now time.Time, all []store.Object) {
	a.table.Replace(now, all)
	a.record(now)
}

func (a *appliedAt) Change(now time.Time, o store.Object) {
	a.table.Change(now, o)
	a.record(now)
}

func (a *appliedAt) record(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.times == nil {
		a.times = make(map[string]time.Time)
	}
	a.times[a.has()["main"]] = now
}

// at returns the first time at which a value or a later one was applied.
func (a *appliedAt) at(value string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var first time.Time
	for v, t := range a.times {
		if v >= value && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// Guards against an entry that falls behind while a large object changes in quick succession: the
// answer to a watch holds every version since the one before, so that each takes longer on a slow
// link than the one before.
func TestChangesInQuickSuccessionAreInForceInTime(t *testing.T) {
	const bound = 3 * time.Second // of a change of the configuration, as in issue 59
	for _, changes := range []int{2, 4, 10, 30} {
		for _, spacing := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%d changes, every %v", changes, spacing), func(t *testing.T) {
				simclock.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx, cancel := context.WithCancel(t.Context())
					s, sink := feed.New(store.Version{Era: 1, Revision: 500}), &appliedAt{}
					// An object of 1 MB on a link of 10 Mbit/s takes 0.8 s.
					c := &feed.Client{Store: s, Timeout: callTimeout, Link: &link.Link{Rate: 1_250_000}, Size: func(*store.Object) int { return 1_000_000 }}
					f := &follow.Follower{
						Feed: c, Kind: follow.Configuration, Resume: true, Sink: sink, Timeout: callTimeout, ShortWait: shortWait, LongWait: longWait, Batch: batch,
						StallTimeout: stallTimeout, ShortPoll: func() bool { return false }, Log: slog.New(slog.DiscardHandler),
					}
					s.Put("main", "000")
					go f.Run(ctx)
					time.Sleep(5 * time.Second)
					var put []time.Time
					for i := range changes {
						put = append(put, time.Now())
						s.Put("main", fmt.Sprintf("%03d", i+1))
						f.Invalidate(s.Version()) // another entry has a fast link
						time.Sleep(spacing)
					}
					time.Sleep(time.Minute)
					worst := time.Duration(0)
					for i, began := range put {
						at := sink.at(fmt.Sprintf("%03d", i+1))
						is.True(!at.IsZero())
						worst = max(worst, at.Sub(began))
					}
					t.Logf("%v late at most", worst)
					is.True(worst <= bound)
					cancel()
					time.Sleep(longWait)
				})
			})
		}
	}
}
