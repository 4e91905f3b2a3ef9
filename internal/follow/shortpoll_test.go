package follow_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
	"github.com/shallotpier/shallotpier/internal/store"
)

// Guards against an entry that waits for the end of a long wait whose answer was lost, though it
// has become a short-poll entry meanwhile: an entry that is cut off from all others hears of no
// change in another way, and kept an old configuration for up to 12.5 s.
func TestLostAnswerAtNewShortPollEntry(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := feed.New(store.Version{Era: 1, Revision: 500})
		client, applied := &feed.Client{Store: s, Timeout: callTimeout}, &table{}
		var shortPoll atomic.Bool
		f := &follow.Follower{
			Feed: client, Kind: follow.Configuration, Sink: applied, Timeout: callTimeout, ShortWait: shortWait, LongWait: longWait, Batch: batch,
			StallTimeout: stallTimeout, ShortPoll: shortPoll.Load, Log: slog.New(slog.DiscardHandler),
		}
		s.Put("main", "r1")
		go f.Run(ctx)
		time.Sleep(time.Second)
		client.SetFault(feed.Fault{Stalled: true})
		s.Put("main", "r2")
		synctest.Wait()
		client.SetFault(feed.Fault{})
		time.Sleep(time.Second)
		is.Equal(applied.has()["main"], "r1") // the answer was lost
		lists := client.Lists()
		shortPoll.Store(true)
		time.Sleep(time.Second)
		is.Equal(applied.has()["main"], "r2")
		is.Equal(client.Lists(), lists) // the watch went on from its version
		is.True(!f.Unavailable())
		cancel()
		time.Sleep(longWait) // ends calls in progress
		synctest.Wait()
	})
}
