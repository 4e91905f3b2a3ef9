package follow_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
	"github.com/shallotpier/shallotpier/internal/standin/link"
	"github.com/shallotpier/shallotpier/internal/store"
)

// valueLog is a sink that keeps the values of main in the order in which they were applied.
type valueLog struct {
	table

	mu     sync.Mutex
	values []string
}

func (l *valueLog) Replace(now time.Time, all []store.Object) {
	l.table.Replace(now, all)
	l.note()
}

func (l *valueLog) Change(now time.Time, o store.Object) {
	l.table.Change(now, o)
	l.note()
}

func (l *valueLog) note() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values = append(l.values, l.has()["main"])
}

// inOrder reports whether no value was followed by an older one.
func (l *valueLog) inOrder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.IsSorted(l.values)
}

// Guards against an answer of the store that began to arrive before a later state was applied, and
// replaces it by an older one: large answers take seconds on slow links.
func TestLaterStateIsKept(t *testing.T) {
	for _, compacted := range []bool{false, true} { // the arriving answer is a list
		for _, whole := range []bool{false, true} { // the later state is that of another entry
			t.Run(fmt.Sprintf("list %v, state of another entry %v", compacted, whole), func(t *testing.T) {
				simclock.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx, cancel := context.WithCancel(t.Context())
					s := feed.New(store.Version{Era: 1, Revision: 500})
					sink := &valueLog{}
					// An object takes a second.
					c := &feed.Client{Store: s, Timeout: callTimeout, Link: &link.Link{Rate: 1 << 20}, Size: func(o *store.Object) int { return 1 << 20 }}
					f := &follow.Follower{
						Feed: c, Kind: follow.Configuration, Resume: true, Sink: sink, Timeout: callTimeout, ShortWait: shortWait, LongWait: longWait, Batch: batch,
						StallTimeout: stallTimeout, ShortPoll: func() bool { return false }, Log: slog.New(slog.DiscardHandler),
					}
					s.Put("main", "1")
					go f.Run(ctx)
					time.Sleep(2 * time.Second)
					if compacted {
						s.Put("main", "2")
						time.Sleep(time.Second + batch/2)
						s.Put("main", "3")
						s.Compact() // the next watch fails
					} else {
						s.Put("main", "3")
					}
					time.Sleep(batch + 500*time.Millisecond) // the answer is arriving
					s.Put("main", "4")
					s.Put("other", "1")
					if whole {
						is.True(f.Bootstrap(s.Version(), func() { sink.Replace(time.Now(), []store.Object{s.Object("main"), s.Object("other")}) }))
					} else {
						is.NoErr(f.ApplyRead(s.Object("main"), func() {}))
					}
					time.Sleep(longWait)
					synctest.Wait()
					is.True(sink.inOrder())
					is.Equal(sink.has(), map[string]string{"main": "4", "other": "1"})
					s.Put("main", "5")
					s.Remove("other")
					time.Sleep(2 * time.Second)
					is.Equal(sink.has(), map[string]string{"main": "5"})
					cancel()
					time.Sleep(longWait)
				})
			})
		}
	}
}

// Guards against fetching the state of another entry while that of the store is arriving: after an
// outage all entries of a zone would fetch a large state from one entry, whose link it fills.
func TestNoPeerStateWhileAnswerArrives(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := feed.New(store.Version{Revision: 500})
		// An object takes a second.
		c := &feed.Client{Store: s, Timeout: callTimeout, Link: &link.Link{Rate: 1 << 20}, Size: func(*store.Object) int { return 1 << 20 }}
		f := &follow.Follower{
			Feed: c, Kind: follow.Configuration, Resume: true, Sink: &table{}, Timeout: callTimeout, ShortWait: shortWait, LongWait: longWait, Batch: batch,
			StallTimeout: stallTimeout, ShortPoll: func() bool { return false }, Log: slog.New(slog.DiscardHandler),
		}
		s.Put("main", "1")
		go f.Run(ctx)
		time.Sleep(2 * time.Second)
		s.SetUnavailable(true)
		time.Sleep(time.Second)
		s.Put("main", "2")
		f.Invalidate(s.Version())
		time.Sleep(100 * time.Millisecond)
		is.True(f.NeedsPeerState())
		s.SetUnavailable(false)
		s.Put("main", "3")
		f.Invalidate(s.Version()) // ends the delay after a failed call
		time.Sleep(5 * time.Millisecond)
		is.True(f.Unavailable())
		is.True(!f.NeedsPeerState()) // the call has just begun
		time.Sleep(900 * time.Millisecond)
		is.True(f.Unavailable())
		is.True(!f.NeedsPeerState())
		c.Reset()
		s.SetUnavailable(true)
		time.Sleep(time.Second)
		is.True(f.NeedsPeerState())
		cancel()
		time.Sleep(longWait)
	})
}
