package observed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
)

type (
	// Store forwards calls to another store and counts them; a watch counts as
	// one call however long it waits. It is safe for concurrent use.
	Store struct {
		// Store is the wrapped store.
		Store store.Store

		mu     sync.Mutex
		report Report
	}

	// Report holds the call counts and the availability of the store.
	Report struct {
		// Calls counts the calls by kind.
		Calls Calls `json:"calls"`
		// Conflicts counts writes whose condition did not hold.
		Conflicts int `json:"conflicts"`
		// Failures counts calls that failed for reasons other than a conflict
		// or a missing object, ambiguous writes included.
		Failures int `json:"failures"`
		// Ambiguous counts writes that may have taken effect.
		Ambiguous int `json:"ambiguous"`
		// LastAnswer is the time of the store's last answer; zero if there was
		// none.
		LastAnswer time.Time `json:"lastAnswer"`
		// FailingSince is the time of the first failure since the last answer;
		// zero while the store answers.
		FailingSince time.Time `json:"failingSince"`
	}

	// Calls counts calls by kind.
	Calls struct {
		// Gets counts reads of one object.
		Gets int `json:"gets"`
		// Puts counts writes.
		Puts int `json:"puts"`
		// Deletes counts removals.
		Deletes int `json:"deletes"`
		// Lists counts reads by prefix.
		Lists int `json:"lists"`
		// Watches counts watches, each as one call however long it waits.
		Watches int `json:"watches"`
	}
)

var _ store.Store = (*Store)(nil)

// Reads returns the number of calls that count towards the store's read limit.
func (c Calls) Reads() int { return c.Gets + c.Lists + c.Watches }

// Writes returns the number of calls that count towards the store's write
// limit.
func (c Calls) Writes() int { return c.Puts + c.Deletes }

// Report returns the counts and availability so far.
func (s *Store) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report
}

// Get returns the object under key.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	s.count(func(c *Calls) { c.Gets++ })
	o, err := s.Store.Get(ctx, key)
	s.record(err)
	return o, err
}

// Put writes the value if the condition holds.
func (s *Store) Put(ctx context.Context, key string, value []byte, cond store.Condition) (store.Version, error) {
	s.count(func(c *Calls) { c.Puts++ })
	v, err := s.Store.Put(ctx, key, value, cond)
	s.record(err)
	return v, err
}

// Delete removes the object if the condition holds.
func (s *Store) Delete(ctx context.Context, key string, cond store.Condition) error {
	s.count(func(c *Calls) { c.Deletes++ })
	err := s.Store.Delete(ctx, key, cond)
	s.record(err)
	return err
}

// List returns all objects whose key starts with prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, error) {
	s.count(func(c *Calls) { c.Lists++ })
	all, err := s.Store.List(ctx, prefix)
	s.record(err)
	return all, err
}

// Watch returns the object under key as soon as its version differs from seen.
// The error doesn't distinguish a watch that ends without a change from an
// unavailable store, so store.ErrUnavailable is recorded neither as an answer
// nor as a failure.
func (s *Store) Watch(ctx context.Context, key string, seen store.Version) (store.Object, error) {
	s.count(func(c *Calls) { c.Watches++ })
	o, err := s.Store.Watch(ctx, key, seen)
	if !errors.Is(err, store.ErrUnavailable) {
		s.record(err)
	}
	return o, err
}

func (s *Store) count(f func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.report.Calls)
}

func (s *Store) record(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.report
	if errors.Is(err, store.ErrConflict) {
		r.Conflicts++
	}
	if errors.Is(err, store.ErrAmbiguous) {
		r.Ambiguous++
	}
	if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
		r.LastAnswer, r.FailingSince = time.Now(), time.Time{}
		return
	}
	r.Failures++
	if r.FailingSince.IsZero() {
		r.FailingSince = time.Now()
	}
}
