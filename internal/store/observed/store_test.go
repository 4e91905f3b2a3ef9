package observed_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/standin/platform"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/internal/store/observed"
)

func TestReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := new(platform.Store)
		s := &observed.Store{Store: p}
		ctx := t.Context()
		_, err := s.Put(ctx, "a/b", nil, store.IfAbsent())
		is.NoErr(err)
		_, _ = s.Put(ctx, "a/b", nil, store.IfAbsent())
		_, _ = s.Get(ctx, "none")
		_, _ = s.List(ctx, "a/")
		r := s.Report()
		is.Equal(r.Calls, observed.Calls{Gets: 1, Puts: 2, Lists: 1})
		is.Equal(r.Calls.Reads(), 2)
		is.Equal(r.Calls.Writes(), 2)
		is.Equal(r.Conflicts, 1)
		is.True(r.FailingSince.IsZero()) // answers, if not the wished ones

		time.Sleep(time.Second)
		down := time.Now()
		p.SetFault(platform.Fault{Down: true})
		for range 3 {
			_, _ = s.Get(ctx, "a/b")
			time.Sleep(time.Minute)
		}
		p.SetFault(platform.Fault{Lost: true})
		_ = s.Delete(ctx, "a/b", store.Condition{})
		r = s.Report()
		is.Equal(r.FailingSince, down) // since the first failure
		is.Equal(r.Failures, 4)
		is.Equal(r.Ambiguous, 1)

		p.SetFault(platform.Fault{})
		_, _ = s.Get(ctx, "a/b")
		is.True(s.Report().FailingSince.IsZero())
		is.Equal(s.Report().LastAnswer, time.Now())

		wait, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		_, _ = s.Watch(wait, "a/c", 0)
		is.Equal(s.Report().Calls.Watches, 1)
		is.True(s.Report().FailingSince.IsZero()) // an unchanged watch is no failure
	})
}
