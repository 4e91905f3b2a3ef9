package follow_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
	"github.com/shallotpier/shallotpier/internal/store"
)

// confirmation is a call of Confirmed.
type confirmation struct {
	started time.Duration
	era     store.Era
	at      time.Duration
	value   string // of main at the time of the call
}

// followConfirmed runs a check with a follower whose store answers after a delay. The calls of
// Confirmed so far are returned, and forgotten, by taken.
func followConfirmed(t *testing.T, delay time.Duration, check func(is *is.I, f *followed, taken func() []confirmation)) {
	t.Helper()
	simclock.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		s := feed.New(store.Version{Era: 1, Revision: 500})
		f := &followed{store: s, client: &feed.Client{Store: s, Timeout: callTimeout}, table: &table{}, cancel: cancel}
		var (
			mu  sync.Mutex
			all []confirmation
		)
		f.Follower = &follow.Follower{
			Feed: f.client, Kind: follow.Configuration, Sink: f.table, Timeout: callTimeout, ShortWait: shortWait, LongWait: longWait, Batch: batch,
			StallTimeout: stallTimeout, ShortPoll: func() bool { return false }, Log: slog.New(slog.DiscardHandler),
			Clock: func() boottime.Instant { return boottime.Instant(time.Since(begin)) },
			Confirmed: func(started boottime.Instant, era store.Era) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, confirmation{time.Duration(started), era, time.Since(begin), f.table.has()["main"]})
			},
		}
		f.client.SetFault(feed.Fault{Delay: delay})
		s.Put("main", "r1")
		go f.Run(ctx)
		check(is.New(t), f, func() []confirmation {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			taken := all
			all = nil
			return taken
		})
		f.stop()
	})
}

// Guards against a moment after the store's answer, and against a proof before the contents are
// in force.
func TestConfirmedAtTheStartOfTheCall(t *testing.T) {
	const ms = time.Millisecond
	followConfirmed(t, 100*ms, func(is *is.I, f *followed, taken func() []confirmation) {
		time.Sleep(time.Second)
		is.Equal(taken(), []confirmation{{0, 1, 100 * ms, "r1"}}) // the list
		f.store.Put("main", "r2")
		time.Sleep(200 * ms)
		is.Equal(taken(), []confirmation{{100 * ms, 1, 1100 * ms, "r2"}}) // the watch
		time.Sleep(batch + longWait)
		is.Equal(taken(), []confirmation{{1400 * ms, 1, 1500*ms + longWait - batch, "r2"}}) // the next one, without a change
	})
}

// Guards against proofs by watches that were cancelled, by answers of an older era, and by
// failed calls.
func TestNothingConfirmedWithoutAnAppliedAnswer(t *testing.T) {
	followConfirmed(t, 0, func(is *is.I, f *followed, taken func() []confirmation) {
		time.Sleep(time.Second)
		is.Equal(len(taken()), 1)
		f.ObserveEra(2) // ends the watch; the store still answers in era 1
		time.Sleep(longWait)
		is.Equal(len(taken()), 0)
		f.store.Restore(f.store.Copy())
		time.Sleep(3 * time.Second)
		all := taken()
		is.Equal(len(all), 1)
		is.Equal(all[0].era, store.Era(2))
		is.True(all[0].started > time.Second+longWait)
		f.client.SetFault(feed.Fault{Unavailable: true})
		f.store.Put("main", "r2")
		time.Sleep(time.Minute)
		is.Equal(len(taken()), 0)
	})
}

// Guards against an object that is read by itself and isn't applied, or is applied in place of
// a later one, and against confirming one of another era than the followed one.
func TestApplyRead(t *testing.T) {
	for name, tt := range map[string]struct {
		version   store.Version
		confirmed bool
		value     string
	}{
		"newer":     {store.Version{Era: 1, Revision: 510}, true, "read"},
		"same":      {store.Version{Era: 1, Revision: 501}, true, "r1"},
		"older":     {store.Version{Era: 1, Revision: 499}, true, "r1"},
		"older era": {store.Version{Revision: 600}, false, "r1"},
		"later era": {store.Version{Era: 2, Revision: 501}, false, "r1"},
	} {
		t.Run(name, func(t *testing.T) {
			followConfirmed(t, 0, func(is *is.I, f *followed, _ func() []confirmation) {
				time.Sleep(time.Second)
				confirmed := false
				err := f.ApplyRead(store.Object{Key: "main", Version: tt.version, Value: []byte("read")}, func() { confirmed = true })
				is.Equal(confirmed, tt.confirmed)
				is.Equal(err == nil, tt.confirmed)
				is.Equal(f.table.has()["main"], tt.value)
				is.Equal(f.Era(), max(1, tt.version.Era))
			})
		})
	}
}
