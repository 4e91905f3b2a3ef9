package store

import (
	"context"

	"github.com/rotisserie/eris"
)

// MaxValue is the largest value that the store holds, in bytes.
const MaxValue = 1 << 20

type (
	// Object is a value with its version.
	Object struct {
		// Key identifies the object; its segments are separated by slashes.
		Key string `json:"key"`
		// Version is the version of the value.
		Version Version `json:"version"`
		// Value is at most MaxValue bytes. Readers must not change it.
		Value []byte `json:"value"`
	}

	// Condition is the precondition of a write. The zero Condition always
	// holds.
	Condition struct {
		set     bool
		version Version
	}

	// Store is the platform's object store. Implementations are safe for
	// concurrent use and wrap the errors of this package.
	Store interface {
		// Get returns the object under key, or ErrNotFound.
		Get(ctx context.Context, key string) (Object, error)
		// Put writes the value if the condition holds and returns its version.
		Put(ctx context.Context, key string, value []byte, cond Condition) (Version, error)
		// Delete removes the object if the condition holds.
		Delete(ctx context.Context, key string, cond Condition) error
		// List returns all objects whose key starts with prefix, sorted by key.
		List(ctx context.Context, prefix string) ([]Object, error)
		// Watch returns the object under key as soon as its version differs
		// from seen, or ErrUnavailable when the store ends the wait without a
		// change.
		Watch(ctx context.Context, key string, seen Version) (Object, error)
	}
)

// Errors of the methods of a Store; compare with errors.Is.
var (
	// ErrNotFound means that there is no object under the key.
	ErrNotFound = eris.New("object not found")
	// ErrConflict means that the condition did not hold.
	ErrConflict = eris.New("condition of the write does not hold")
	// ErrUnavailable means that the store gave no result and that a write did
	// not take effect.
	ErrUnavailable = eris.New("store unavailable")
	// ErrAmbiguous means that a write may have taken effect.
	ErrAmbiguous = eris.New("write may have taken effect")
)

// IfVersion holds while the object has the given version.
func IfVersion(v Version) Condition { return Condition{set: true, version: v} }

// IfAbsent holds while there is no object under the key.
func IfAbsent() Condition { return Condition{set: true} }

// Holds reports whether the condition holds for the current version, which is the
// zero Version for an absent object.
func (c Condition) Holds(current Version) bool { return !c.set || c.version == current }

// Required returns the version that the condition requires, the zero Version for
// absence, and false if it always holds.
func (c Condition) Required() (Version, bool) { return c.version, c.set }
