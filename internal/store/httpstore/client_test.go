package httpstore_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/instances"
	"github.com/shallotpier/shallotpier/internal/standin/platform"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/internal/store/httpstore"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const key = "config/current"

func serve(t *testing.T) (*platform.Store, *platform.Instances, *httpstore.Client) {
	s, i := new(platform.Store), new(platform.Instances)
	srv := httptest.NewServer(platform.NewHandler(s, i))
	t.Cleanup(srv.Close)
	return s, i, &httpstore.Client{Base: srv.URL, HTTP: srv.Client()}
}

func TestWritesRespectConditions(t *testing.T) {
	is := is.New(t)
	_, _, c := serve(t)
	ctx := t.Context()
	_, err := c.Get(ctx, key)
	is.True(errors.Is(err, store.ErrNotFound))
	v, err := c.Put(ctx, key, []byte("a"), store.IfAbsent())
	is.NoErr(err)
	_, err = c.Put(ctx, key, []byte("b"), store.IfAbsent())
	is.True(errors.Is(err, store.ErrConflict))
	w, err := c.Put(ctx, key, []byte("c"), store.IfVersion(v))
	is.NoErr(err)
	is.True(v.Before(w))
	_, err = c.Put(ctx, key, []byte("d"), store.IfVersion(v))
	is.True(errors.Is(err, store.ErrConflict))
	o, err := c.Get(ctx, key)
	is.NoErr(err)
	is.Equal(o, store.Object{Key: key, Version: w, Value: []byte("c")})
	all, err := c.List(ctx, "config/")
	is.NoErr(err)
	is.Equal(all, []store.Object{o})
	is.True(errors.Is(c.Delete(ctx, key, store.IfVersion(v)), store.ErrConflict))
	is.NoErr(c.Delete(ctx, key, store.IfVersion(w)))
	x, err := c.Put(ctx, key, nil, store.IfAbsent())
	is.NoErr(err)
	is.True(w.Before(x)) // a version is never reused for a key
}

// putWithFault writes key to a new store that has a fault, over an open connection, so that the
// time-out doesn't pass while the client connects. It returns the store and the write's error.
func putWithFault(t *testing.T, fault platform.Fault, timeout time.Duration) (*platform.Store, error) {
	t.Helper()
	s, _, c := serve(t)
	c.Timeout = time.Minute
	if _, err := c.Get(t.Context(), key); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("got %v before the write, want %v", err, store.ErrNotFound)
	}
	c.Timeout = timeout
	s.SetFault(fault)
	_, err := c.Put(t.Context(), key, []byte("a"), store.IfAbsent())
	return s, err
}

func TestFailedWriteIsAmbiguous(t *testing.T) {
	tests := map[string]struct {
		fault   platform.Fault
		timeout time.Duration
		want    error
		wrote   bool
	}{
		"answer lost": {fault: platform.Fault{Lost: true}, want: store.ErrAmbiguous, wrote: true},
		"outage":      {fault: platform.Fault{Down: true}, want: store.ErrAmbiguous},
		"slow":        {fault: platform.Fault{Delay: unit.Duration(time.Second)}, timeout: 20 * time.Millisecond, want: store.ErrAmbiguous, wrote: true},
		"no fault":    {wrote: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := putWithFault(t, test.fault, test.timeout)
			for test.timeout > 0 && s.Counts()[platform.Put] == 0 {
				// The time-out has passed before the call was sent.
				s, err = putWithFault(t, test.fault, test.timeout)
			}
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			s.SetFault(platform.Fault{})
			if !test.wrote {
				_, err = s.Get(t.Context(), key)
				is.True(errors.Is(err, store.ErrNotFound))
				return
			}
			_, err = s.Watch(t.Context(), key, store.Version{}) // returns when the write takes effect
			is.NoErr(err)
		})
	}
}

func TestUnreachableAndRateLimitedWritesDidNotTakeEffect(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l.Close()
	c := &httpstore.Client{Base: "http://" + l.Addr().String(), HTTP: &http.Client{Transport: &http.Transport{}}}
	_, err = c.Put(t.Context(), key, nil, store.Condition{})
	is.True(errors.Is(err, store.ErrUnavailable))
	is.True(!errors.Is(err, store.ErrAmbiguous))

	s, _, c := serve(t)
	s.SetHook(func(platform.Call) platform.Fault { return platform.Fault{} })
	s.SetLimits(platform.Limits{Writes: 1})
	refused := 0
	for range 10 {
		if _, err := c.Put(t.Context(), key, nil, store.Condition{}); errors.Is(err, store.ErrUnavailable) {
			refused++
		}
	}
	is.True(refused >= 5)
	is.Equal(s.Counts()[platform.Put], 10)
}

func TestWatchReturnsOnChangeOrEndOfWait(t *testing.T) {
	is := is.New(t)
	s, _, c := serve(t)
	v, err := c.Put(t.Context(), key, []byte("a"), store.IfAbsent())
	is.NoErr(err)
	c.Wait = 10 * time.Millisecond
	_, err = c.Watch(t.Context(), key, v)
	is.True(errors.Is(err, store.ErrUnavailable))
	c.Wait = time.Minute
	go func() { _, _ = s.Put(context.Background(), key, []byte("b"), store.IfVersion(v)) }()
	o, err := c.Watch(t.Context(), key, v)
	is.NoErr(err)
	is.Equal(string(o.Value), "b")
}

func TestInstanceListShowsStateAfterLag(t *testing.T) {
	is := is.New(t)
	_, list, c := serve(t)
	l := &instances.Client{Base: c.Base, HTTP: c.HTTP}
	list.Set(instances.Instance{Name: "entry-1", Zone: "east-a", State: instances.Live})
	list.SetState("entry-1", instances.Leaving)
	all, err := l.List(t.Context())
	is.NoErr(err)
	is.Equal(all[0].State, instances.Leaving)
	list.SetLag(time.Hour)
	all, err = l.List(t.Context())
	is.NoErr(err)
	is.Equal(len(all), 0)
}
