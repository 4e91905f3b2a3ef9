package relayfeed

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// script answers as leaders and as the store.
	script struct {
		calls   []string
		answers map[id.Instance]func(ctx context.Context) (*answer, error)
		silent  atomic.Int64 // time since the latest heartbeat of the first leader
	}

	scriptStore struct{ *script }
)

func (s *script) Call(ctx context.Context, to id.Instance, _ string, _, result any) error {
	s.calls = append(s.calls, string(to))
	a, err := s.answers[to](ctx)
	if err == nil {
		*result.(*answer) = *a
	}
	return err
}

func (s scriptStore) All(context.Context) ([]store.Object, store.Version, error) {
	s.calls = append(s.calls, "store")
	return nil, version(40), nil
}

func (s scriptStore) Changes(context.Context, store.Version, time.Duration) ([]store.Change, store.Version, error) {
	s.calls = append(s.calls, "store")
	return nil, version(40), nil
}

func answers(v store.Revision) func(context.Context) (*answer, error) {
	return func(context.Context) (*answer, error) { return &answer{Version: version(v)}, nil }
}

func refuses(s status) func(context.Context) (*answer, error) {
	return func(context.Context) (*answer, error) { return &answer{Status: s}, nil }
}

func hangs(ctx context.Context) (*answer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A leader that can't answer must be left at once for the other one, or for the store, and
// must not be asked again for a while.
func TestSources(t *testing.T) {
	unknown := func(context.Context) (*answer, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
	}
	lost := func(context.Context) (*answer, error) { return nil, errors.New("connection closed") }
	tests := map[string]struct {
		first, second func(context.Context) (*answer, error)
		// during is called while the entry waits for the first leader.
		during func(f *Feed, s *script, cancel context.CancelFunc)
		calls  []string
		// within limits the time of the call.
		within time.Duration
	}{
		"answer":                       {first: answers(31), calls: []string{"first"}},
		"first lost":                   {first: lost, second: answers(31), calls: []string{"first", "second"}},
		"both lost":                    {first: lost, second: lost, calls: []string{"first", "second", "store"}},
		"store unavailable to it":      {first: refuses(unavailable), second: answers(31), calls: []string{"first", "second"}},
		"follows through another":      {first: refuses(indirect), second: refuses(indirect), calls: []string{"first", "second", "store"}},
		"of another era":               {first: refuses(otherEra), second: refuses(otherEra), calls: []string{"first", "second", "store"}},
		"behind":                       {first: refuses(behind), second: refuses(behind), calls: []string{"first", "second", "store"}},
		"stopping":                     {first: refuses(stopping), second: answers(31), calls: []string{"first", "second"}},
		"older build":                  {first: unknown, second: unknown, calls: []string{"first", "second", "store"}},
		"answer before the version":    {first: answers(29), second: answers(31), calls: []string{"first", "second"}},
		"no answer":                    {first: hangs, second: answers(31), calls: []string{"first", "second"}, within: 700 * time.Millisecond},
		"both without answer":          {first: hangs, second: hangs, calls: []string{"first", "second", "store"}, within: 1400 * time.Millisecond},
		"silent":                       {first: hangs, second: answers(31), during: func(_ *Feed, s *script, _ context.CancelFunc) { s.silent.Store(int64(time.Minute)) }, calls: []string{"first", "second"}, within: 400 * time.Millisecond},
		"late with a change":           {first: hangs, second: answers(31), during: func(f *Feed, _ *script, _ context.CancelFunc) { f.Redirect() }, calls: []string{"first", "store"}, within: 100 * time.Millisecond},
		"call ended by the follower":   {first: hangs, during: func(_ *Feed, _ *script, cancel context.CancelFunc) { cancel() }, calls: []string{"first"}, within: 100 * time.Millisecond},
		"compacted, so list is needed": {first: refuses(compacted), calls: []string{"first"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &script{answers: map[id.Instance]func(context.Context) (*answer, error){"first": tt.first, "second": tt.second}}
				f := newFeed(s)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tt.during != nil {
					time.AfterFunc(100*time.Millisecond, func() { tt.during(f, s, cancel) })
				}
				began := time.Now()
				_, v, err := f.Changes(ctx, version(30), 12*time.Second)
				is.Equal(s.calls, tt.calls)
				is.True(time.Since(began) <= tt.within)
				last := s.calls[len(s.calls)-1]
				if err == nil {
					is.Equal(f.Origin().Relayed(), last != "store")
					is.True(!v.Before(version(30)))
				}
				if last == "second" || last == "store" {
					before := len(s.calls)
					_, _, _ = f.Changes(t.Context(), v, 0)
					is.True(s.calls[before] != "first") // is not asked at once
				}
			})
		})
	}
}

// newFeed returns a feed whose leaders may be asked, "first" before "second".
func newFeed(s *script) *Feed {
	f := &Feed{Kind: "servers", Store: scriptStore{s}, Peers: s, Timeout: 700 * time.Millisecond, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet()}
	f.Leaders = func(time.Time) []Leader {
		return []Leader{{Instance: "first", Silent: time.Duration(s.silent.Load())}, {Instance: "second"}}
	}
	for _, self := range []id.Instance{"e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8"} {
		f.Self = self
		if r := (&selector{self: self}); r.rank("first") < r.rank("second") {
			break
		}
	}
	_, _, _ = f.pick()
	time.Sleep(2 * minStay)
	return f
}

// A rejected answer must exclude its leader from the list that follows.
func TestReject(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{answers: map[id.Instance]func(context.Context) (*answer, error){"first": answers(20), "second": answers(31)}}
		f := newFeed(s)
		_, v, err := f.All(t.Context())
		is.NoErr(err)
		is.Equal(v, version(20))
		f.Reject()
		_, v, err = f.All(t.Context())
		is.NoErr(err)
		is.Equal(v, version(31))
		f.Reject()
		_, v, err = f.All(t.Context())
		is.NoErr(err)
		is.Equal(v, version(40))
		is.True(!f.Origin().Relayed())
		f.Reject() // an answer of the store is never rejected
		is.Equal(s.calls, []string{"first", "second", "store"})
	})
}
