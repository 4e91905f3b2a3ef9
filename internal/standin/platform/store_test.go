package platform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/platform"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

func TestFaultsAffectReadsWritesAndWatches(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := new(platform.Store)
		ctx := t.Context()
		_, err := s.Put(ctx, "k", []byte("1"), store.IfAbsent())
		is.NoErr(err)
		time.Sleep(time.Minute)
		_, err = s.Put(ctx, "k", []byte("2"), store.Condition{})
		is.NoErr(err)

		s.SetFault(platform.Fault{Stale: unit.Duration(time.Second)})
		o, err := s.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(string(o.Value), "1") // stale read

		s.SetFault(platform.Fault{Delay: unit.Duration(10 * time.Second)})
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = s.Put(short, "k", []byte("3"), store.Condition{})
		is.True(errors.Is(err, store.ErrAmbiguous))
		s.SetFault(platform.Fault{})
		o, _ = s.Get(ctx, "k")
		is.Equal(string(o.Value), "2") // not yet written
		o, err = s.Watch(ctx, "k", o.Version)
		is.NoErr(err)
		is.Equal(string(o.Value), "3") // written after the context of the call ended

		go func() {
			time.Sleep(time.Hour)
			s.SetFault(platform.Fault{Down: true})
		}()
		_, err = s.Watch(ctx, "k", o.Version)
		is.True(errors.Is(err, store.ErrUnavailable)) // an outage ends waiting watches
		is.Equal(s.Counts()[platform.Watch], 2)
	})
}

func TestHookReceivesClientName(t *testing.T) {
	is := is.New(t)
	s := new(platform.Store)
	s.SetHook(func(c platform.Call) platform.Fault { return platform.Fault{Down: c.From == "a"} })
	_, err := (&platform.Client{Store: s, Name: "a"}).Put(t.Context(), "k", nil, store.Condition{})
	is.True(errors.Is(err, store.ErrUnavailable))
	_, err = (&platform.Client{Store: s, Name: "b"}).Put(t.Context(), "k", nil, store.Condition{})
	is.NoErr(err)
}
