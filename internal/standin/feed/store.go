package feed

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/shallotpier/shallotpier/internal/store"
)

type (
	// Store holds objects of one kind. It is safe for concurrent use.
	Store struct {
		mu          sync.Mutex
		state       Copy
		unavailable bool
		changed     chan struct{}
	}

	// Copy is a copy of a Store.
	Copy struct {
		version store.Version
		objects map[string]store.Object
		history []store.Change
		// compacted is the revision up to which the history is discarded.
		compacted store.Revision
	}
)

// New returns an empty store at a version.
func New(v store.Version) *Store {
	return &Store{state: Copy{version: v, objects: map[string]store.Object{}}, changed: make(chan struct{})}
}

// Version returns the version of the latest change.
func (s *Store) Version() store.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.version
}

// Values returns the values of all objects by key.
func (s *Store) Values() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]string, len(s.state.objects))
	for key, o := range s.state.objects {
		out[key] = string(o.Value)
	}
	return out
}

// Object returns an object, the zero one if there is none of the key.
func (s *Store) Object(key string) store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.state.objects[key]
	o.Version.Era = s.state.version.Era
	return o
}

// Put writes an object.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.version.Revision++
	o := store.Object{Key: key, Version: s.state.version, Value: []byte(value)}
	s.state.objects[key] = o
	s.record(store.Change{Object: o})
}

// Remove removes an object.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.version.Revision++
	delete(s.state.objects, key)
	s.record(store.Change{Object: store.Object{Key: key, Version: s.state.version}, Removed: true})
}

// Advance gives out a version to a change of another kind, which doesn't end watches.
func (s *Store) Advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.version.Revision++
}

func (s *Store) record(c store.Change) {
	s.state.history = append(s.state.history, c)
	s.wake()
}

// wake ends the wait of pending watches. The caller must hold mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Copy returns a copy of the current state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

// Restore replaces the state by a copy and begins the next era. Pending watches end
// with an error.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.state.version.Era + 1
	s.state = *c.clone()
	s.state.version.Era = era
	s.wake()
}

// SetUnavailable makes all calls fail, including pending watches, until it is called
// with false.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.wake()
}

// Compact discards the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compacted, s.state.history = s.state.version.Revision, nil
}

// list returns all objects, sorted by key. The caller must hold mu.
func (s *Store) list() []store.Object {
	all := slices.SortedFunc(maps.Values(s.state.objects), func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
	for i := range all {
		all[i].Version.Era = s.state.version.Era
	}
	return all
}

// changesAfter returns the changes after a revision. The caller must hold mu.
func (s *Store) changesAfter(r store.Revision) []store.Change {
	var out []store.Change
	for _, c := range s.state.history {
		if c.Version.Revision > r {
			c.Version.Era = s.state.version.Era
			out = append(out, c)
		}
	}
	return out
}

func (c *Copy) clone() *Copy {
	return &Copy{version: c.version, objects: maps.Clone(c.objects), history: slices.Clone(c.history), compacted: c.compacted}
}
