package relayfeed

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// arrivingScript is a script whose first leader sends a large answer for some seconds. Like
// package rpc it waits for its end when the deadline of the call passes.
type arrivingScript struct {
	script

	end atomic.Int64 // Unix time in nanoseconds
}

// Receiving also reports an answer that has just arrived, as package rpc does.
func (s *arrivingScript) Receiving(from id.Instance) bool {
	return from == "first" && time.Since(time.Unix(0, s.end.Load())) < 300*time.Millisecond
}

func (s *arrivingScript) send(ctx context.Context) (*answer, error) {
	const length = 3 * time.Second
	s.end.Store(time.Now().Add(length).UnixNano())
	arrived := time.After(length)
	select {
	case <-arrived:
	case <-ctx.Done():
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, ctx.Err()
		}
		<-arrived
	}
	return answers(31)(ctx)
}

// Guards against an answer that is given up while it arrives, since the heartbeats of its sender
// are lost on the link that the answer fills, and against a call that can't be ended while an
// answer arrives.
func TestCallsWhileAnAnswerArrives(t *testing.T) {
	tests := map[string]struct {
		// during is called 1 s after the beginning of the call.
		during func(f *Feed, s *script, cancel context.CancelFunc)
		calls  []string
		within time.Duration
	}{
		"no event":                   {func(*Feed, *script, context.CancelFunc) {}, []string{"first"}, 3 * time.Second},
		"silent":                     {func(_ *Feed, s *script, _ context.CancelFunc) { s.silent.Store(int64(time.Minute)) }, []string{"first"}, 3 * time.Second},
		"redirected to the store":    {func(f *Feed, _ *script, _ context.CancelFunc) { f.Redirect() }, []string{"first", "store"}, 1100 * time.Millisecond},
		"call ended by the follower": {func(_ *Feed, _ *script, cancel context.CancelFunc) { cancel() }, []string{"first"}, 1100 * time.Millisecond},
	}
	for name, tt := range tests {
		for _, timeout := range []time.Duration{700 * time.Millisecond, 2 * time.Second} {
			t.Run(name+", time-out "+timeout.String(), func(t *testing.T) {
				simclock.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &arrivingScript{}
					s.answers = map[id.Instance]func(context.Context) (*answer, error){"first": s.send, "second": answers(31)}
					f := newFeed(&s.script)
					f.Peers, f.Timeout = s, timeout
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					time.AfterFunc(time.Second, func() { tt.during(f, &s.script, cancel) })
					began := time.Now()
					_, _, _ = f.Changes(ctx, version(30), 12*time.Second)
					is.Equal(s.calls, tt.calls)
					is.True(time.Since(began) <= tt.within)
					time.Sleep(5 * time.Second) // ends the answer
				})
			})
		}
	}
}
