package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Change is a change of an object. Of an object that is gone, only the key
	// and the version of the change are certain.
	Change struct {
		Object
		// Removed tells that it is gone.
		Removed bool
	}

	// Feed gives the objects of one kind and their changes. The store draws the
	// versions of all its objects from one counter, so they order the changes.
	// Implementations are safe for concurrent use.
	Feed interface {
		// All returns the objects, and the version of the store's newest change
		// that they include.
		All(ctx context.Context) ([]Object, Version, error)
		// Changes returns what changed after a version, as soon as anything has
		// or when wait has passed, and the version up to which that is all. It
		// returns ErrCompacted if the store has forgotten changes since.
		Changes(ctx context.Context, after Version, wait time.Duration) ([]Change, Version, error)
	}
)

// ErrCompacted means that the store has forgotten the changes that were asked for.
var ErrCompacted = eris.New("history of the store is gone")
