// Package storecontact keeps how long ago any entry last had an answer of the store.
//
// An entry whose own calls to the store fail still hears of all changes as long as another
// entry gets answers. Once no entry does, changes may be made that nobody hears of: a server
// becomes cold, or its zone is evacuated. Entries send each other the age of the latest answer
// that they know of, so that all of them have that of the deployment after a few heartbeats.
//
// Ages are measured by the time since boot, which includes times in which the machine was
// suspended.
//
// # Usage
//
//	t := &storecontact.Tracker{Clock: boottime.System()}
//	t.Observe(age) // an answer of the store, to this entry or another
//	if age, known := t.Age(); !known || age > limit {
//		// changes may be missing
//	}
package storecontact

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
)

// Tracker keeps the time of the latest answer. It is safe for concurrent use.
type Tracker struct {
	// Clock must be set before the first call and must not change after it.
	Clock boottime.Clock

	mu     sync.Mutex
	known  bool
	latest boottime.Instant
}

// Observe records an answer of the given age. Negative ages count as 0.
func (t *Tracker) Observe(age time.Duration) {
	at := t.Clock().Add(-max(age, 0))
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || at > t.latest {
		t.known, t.latest = true, at
	}
}

// Age returns the time since the latest answer, and false if there was none.
func (t *Tracker) Age() (age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		return 0, false
	}
	return t.Clock().Sub(t.latest), true
}
