package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Change is a change of an object. If the object was removed, only the key
	// and the version of the change are set reliably.
	Change struct {
		Object
		// Removed reports that the object was removed.
		Removed bool
	}

	// Feed provides the objects of one kind and their changes. All objects of
	// the store share one version counter, so versions order the changes of an
	// era. The era of a returned version is that of the store's answer.
	// Implementations are safe for concurrent use.
	Feed interface {
		// All returns the objects, and the version of the latest change that
		// they include.
		All(ctx context.Context) ([]Object, Version, error)
		// Changes returns the changes after a version, and the version up to
		// which they are complete. It returns as soon as there is a change, or
		// when wait has passed. It returns ErrCompacted if the store has
		// discarded changes after the version, and ErrRestored if the answer is of
		// a later era, which doesn't have the version.
		Changes(ctx context.Context, after Version, wait time.Duration) ([]Change, Version, error)
	}

	// Receiver is implemented by Feeds that know whether an answer is arriving.
	Receiver interface {
		// Receiving reports whether a part of the answer to the call in progress has
		// arrived within the last few hundred milliseconds.
		Receiving() bool
	}
)

// Errors of the methods of a Feed; compare with errors.Is.
var (
	// ErrCompacted means that the store has discarded some of the requested
	// changes.
	ErrCompacted = eris.New("history of the store has been compacted")
	// ErrRestored means that the store has been restored from an older copy, which
	// doesn't have the version from which changes were requested.
	ErrRestored = eris.New("store has been restored from an older copy")
	// ErrUnusable means that an answer arrived, but exceeds the limit of its size or can't be
	// decoded. The same call is likely to fail again.
	ErrUnusable = eris.New("answer can't be used")
)
