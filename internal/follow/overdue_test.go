package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
)

// Guards against an answer that counts as overdue while a watch waits for changes, and against one
// that no longer does since another call has been made.
func TestOverdue(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		fault feed.Fault
		at    time.Duration // since the fault
		want  time.Duration
	}{
		"no fault":               {feed.Fault{}, 5 * time.Second, 0},
		"watch waits":            {feed.Fault{Stalled: true}, longWait - 10*ms, 0},
		"watch has no answer":    {feed.Fault{Stalled: true}, longWait + 200*ms, 200 * ms},
		"nor has the next list":  {feed.Fault{Stalled: true}, longWait + callTimeout + 200*ms, callTimeout + 200*ms},
		"calls fail":             {feed.Fault{Unavailable: true}, longWait + 200*ms, 200 * ms},
		"answer that comes late": {feed.Fault{Delay: 200 * ms}, longWait + 100*ms, 100 * ms},
		"answer that has come":   {feed.Fault{Delay: 200 * ms}, longWait + 300*ms, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			followConfirmed(t, 0, func(is *is.I, f *followed, _ func() []confirmation) {
				synctest.Wait()
				f.client.SetFault(tt.fault)
				time.Sleep(tt.at)
				synctest.Wait()
				is.Equal(f.Overdue(time.Now()), tt.want)
			})
		})
	}
}

// Guards against an entry that counts another entry as the store, whose answer is late.
func TestOverdueAnswerOfAnotherEntry(t *testing.T) {
	for name, tt := range map[string]struct {
		origin follow.Origin
		want   time.Duration
	}{
		"store": {follow.Origin{}, time.Second},
		"entry": {follow.Origin{Entry: "leader"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f, _ := followRelayed(ctx, &relayed{lists: []listed{{tt.origin, revision(20), []string{"first"}}}})
				time.Sleep(13 * time.Second) // a second after the long wait
				is.Equal(f.Overdue(time.Now()), tt.want)
				cancel()
				synctest.Wait()
			})
		})
	}
}
