package follow_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
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

	values []string
}

func (l *valueLog) Replace(now time.Time, all []store.Object) {
	l.table.Replace(now, all)
	l.values = append(l.values, l.has()["main"])
}

func (l *valueLog) Change(now time.Time, o store.Object) {
	l.table.Change(now, o)
	l.values = append(l.values, l.has()["main"])
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
					is.True(slices.IsSorted(sink.values)) // goes back
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
