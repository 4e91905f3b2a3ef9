package platform

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Kinds of store calls.
const (
	Get    Kind = "get"
	Put    Kind = "put"
	Delete Kind = "delete"
	List   Kind = "list"
	Watch  Kind = "watch"
)

// maxStates is the number of states of an object that are kept for stale reads.
const maxStates = 64

type (
	// Kind is a kind of store call.
	Kind string

	// Call describes a store call; it is passed to the hook.
	Call struct {
		// Kind is the kind of call.
		Kind Kind
		// Key is the key, or the prefix of a list.
		Key string
		// From is the name of the calling Client; empty for other code.
		From string
		// Count is the number of the call, counted from 1.
		Count int
	}

	// Fault is a fault to inject into a call. The zero Fault has no effect.
	Fault struct {
		// Down rejects the call; nothing is written.
		Down bool `json:"down"`
		// Delay is the time before the call takes effect; it is added again
		// before the answer of a watch that had to wait.
		Delay unit.Duration `json:"delay"`
		// Lost drops the answer; the call takes effect.
		Lost bool `json:"lost"`
		// Stale is the age of the state that reads and watches return.
		Stale unit.Duration `json:"stale"`
	}

	// Limits are the numbers of calls per second that the store accepts; 0
	// means no limit.
	Limits struct {
		// Writes limits puts and deletes.
		Writes int `json:"writes"`
		// Reads limits gets, lists and watches.
		Reads int `json:"reads"`
	}

	// Store is an in-memory object store. The zero Store is empty and ready for
	// use. It is safe for concurrent use.
	Store struct {
		mu       sync.Mutex
		revision store.Revision
		objects  map[string][]state
		changed  chan struct{}
		fault    Fault
		hook     func(Call) Fault
		limits   Limits
		second   time.Time
		used     Limits
		counts   map[Kind]int
		calls    int
	}

	// Client calls a Store under a name, which is passed to the hook.
	Client struct {
		*Store
		// Name is the value of Call.From.
		Name string
	}

	state struct {
		object  store.Object
		since   time.Time
		deleted bool
	}

	clientKey struct{}
)

var (
	_ store.Store = (*Store)(nil)
	_ store.Store = (*Client)(nil)

	errRateLimit = eris.New("over the rate limit")
	errLost      = eris.New("answer lost")
)

// SetFault sets the fault that applies to all calls, including waiting watches.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.broadcast()
}

// SetHook sets a hook that returns an additional fault for each call; nil removes
// it. The hook must not call the store.
func (s *Store) SetHook(hook func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = hook
}

// SetLimits sets the rate limits.
func (s *Store) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// Counts returns the number of calls so far by kind, including rejected ones.
func (s *Store) Counts() map[Kind]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[Kind]int, len(s.counts))
	for k, n := range s.counts {
		counts[k] = n
	}
	return counts
}

// Get returns the object under key.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	f, err := s.begin(ctx, Get, key)
	if err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(key, f)
}

// Put writes the value if the condition holds.
func (s *Store) Put(ctx context.Context, key string, value []byte, cond store.Condition) (store.Version, error) {
	if len(value) > store.MaxValue {
		return store.Version{}, eris.Errorf("value has %d bytes, limit is %d", len(value), store.MaxValue)
	}
	value = slices.Clone(value)
	return s.write(ctx, Put, key, func() (store.Version, error) {
		if !cond.Holds(s.version(key)) {
			return store.Version{}, store.ErrConflict
		}
		return s.append(key, value, false), nil
	})
}

// Delete removes the object if the condition holds.
func (s *Store) Delete(ctx context.Context, key string, cond store.Condition) error {
	_, err := s.write(ctx, Delete, key, func() (store.Version, error) {
		switch v := s.version(key); {
		case !cond.Holds(v):
			return store.Version{}, store.ErrConflict
		case v.IsZero():
			return store.Version{}, store.ErrNotFound
		}
		return s.append(key, nil, true), nil
	})
	return err
}

// List returns all objects whose key starts with prefix, sorted by key.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, error) {
	f, err := s.begin(ctx, List, prefix)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Lost {
		return nil, errors.Join(store.ErrUnavailable, errLost)
	}
	var all []store.Object
	for key := range s.objects {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if o, err := s.read(key, f); err == nil {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
	return all, nil
}

// Watch returns the object under key as soon as its version differs from seen.
func (s *Store) Watch(ctx context.Context, key string, seen store.Version) (store.Object, error) {
	f, err := s.begin(ctx, Watch, key)
	if err != nil {
		return store.Object{}, err
	}
	for waited := false; ; waited = true {
		s.mu.Lock()
		if s.fault.Down || f.Lost {
			s.mu.Unlock()
			return store.Object{}, store.ErrUnavailable
		}
		f.Stale = max(f.Stale, s.fault.Stale)
		o, err := s.read(key, f)
		changed := s.changes()
		s.mu.Unlock()
		if o.Version != seen {
			if waited {
				time.Sleep(f.Delay.Std())
			}
			return o, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.Object{}, eris.Wrap(store.ErrUnavailable, "watch ended")
		}
	}
}

// Get returns the object under key.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	return c.Store.Get(c.withName(ctx), key)
}

// Put writes the value if the condition holds.
func (c *Client) Put(ctx context.Context, key string, value []byte, cond store.Condition) (store.Version, error) {
	return c.Store.Put(c.withName(ctx), key, value, cond)
}

// Delete removes the object if the condition holds.
func (c *Client) Delete(ctx context.Context, key string, cond store.Condition) error {
	return c.Store.Delete(c.withName(ctx), key, cond)
}

// List returns all objects whose key starts with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, error) {
	return c.Store.List(c.withName(ctx), prefix)
}

// Watch returns the object under key as soon as its version differs from seen.
func (c *Client) Watch(ctx context.Context, key string, seen store.Version) (store.Object, error) {
	return c.Store.Watch(c.withName(ctx), key, seen)
}

func (c *Client) withName(ctx context.Context) context.Context {
	return context.WithValue(ctx, clientKey{}, c.Name)
}

// begin counts the call and returns its fault. For reads and watches, it first
// waits for the fault's delay.
func (s *Store) begin(ctx context.Context, kind Kind, key string) (Fault, error) {
	f, err := s.admit(ctx, kind, key)
	if err != nil || f.Delay == 0 || kind == Put || kind == Delete {
		return f, err
	}
	select {
	case <-time.After(f.Delay.Std()):
		return f, nil
	case <-ctx.Done():
		return f, eris.Wrap(store.ErrUnavailable, "no answer in time")
	}
}

// admit counts the call and rejects it during an outage or over a rate limit.
func (s *Store) admit(ctx context.Context, kind Kind, key string) (Fault, error) {
	from, _ := ctx.Value(clientKey{}).(string)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[Kind]int{}
	}
	s.counts[kind]++
	s.calls++
	f := s.fault
	if s.hook != nil {
		h := s.hook(Call{Kind: kind, Key: key, From: from, Count: s.calls})
		f.Down, f.Lost = f.Down || h.Down, f.Lost || h.Lost
		f.Delay, f.Stale = max(f.Delay, h.Delay), max(f.Stale, h.Stale)
	}
	switch {
	case ctx.Err() != nil:
		return f, eris.Wrap(store.ErrUnavailable, "call not sent")
	case f.Down:
		return f, eris.Wrap(store.ErrUnavailable, "outage")
	case s.limited(kind):
		return f, errors.Join(store.ErrUnavailable, errRateLimit)
	}
	return f, nil
}

func (s *Store) limited(kind Kind) bool {
	if now := time.Now(); now.Sub(s.second) >= time.Second {
		s.second, s.used = now, Limits{}
	}
	used, limit := &s.used.Reads, s.limits.Reads
	if kind == Put || kind == Delete {
		used, limit = &s.used.Writes, s.limits.Writes
	}
	*used++
	return limit > 0 && *used > limit
}

// write applies a change after the fault's delay, even if ctx ends first.
func (s *Store) write(ctx context.Context, kind Kind, key string, apply func() (store.Version, error)) (store.Version, error) {
	f, err := s.begin(ctx, kind, key)
	if err != nil {
		return store.Version{}, err
	}
	applyLocked := func() (store.Version, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return apply()
	}
	if f.Delay > 0 {
		late := time.NewTimer(f.Delay.Std())
		select {
		case <-late.C:
		case <-ctx.Done():
			go func() {
				<-late.C
				_, _ = applyLocked()
			}()
			return store.Version{}, eris.Wrap(store.ErrAmbiguous, "no answer in time")
		}
	}
	v, err := applyLocked()
	if f.Lost {
		return store.Version{}, eris.Wrap(store.ErrAmbiguous, "answer lost")
	}
	return v, err
}

// read returns the object as of the fault's staleness. The store must be locked.
func (s *Store) read(key string, f Fault) (store.Object, error) {
	if f.Lost {
		return store.Object{}, errors.Join(store.ErrUnavailable, errLost)
	}
	states := s.objects[key]
	asOf := time.Now().Add(-f.Stale.Std())
	for i := len(states) - 1; i >= 0; i-- {
		if states[i].since.After(asOf) {
			continue
		}
		if states[i].deleted {
			break
		}
		return states[i].object, nil
	}
	return store.Object{}, store.ErrNotFound
}

func (s *Store) version(key string) store.Version {
	states := s.objects[key]
	if len(states) == 0 || states[len(states)-1].deleted {
		return store.Version{}
	}
	return states[len(states)-1].object.Version
}

func (s *Store) append(key string, value []byte, deleted bool) store.Version {
	if s.objects == nil {
		s.objects = map[string][]state{}
	}
	s.revision++
	o := store.Object{Key: key, Version: store.Version{Revision: s.revision}, Value: value}
	states := append(s.objects[key], state{object: o, since: time.Now(), deleted: deleted})
	if len(states) > maxStates {
		states = slices.Delete(states, 0, len(states)-maxStates)
	}
	s.objects[key] = states
	s.broadcast()
	return o.Version
}

// changes returns a channel that is closed at the next change of an object or of
// the fault. The store must be locked.
func (s *Store) changes() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *Store) broadcast() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
