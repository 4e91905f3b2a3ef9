package follow

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/store"
)

// ApplyRead applies an object that was read by itself, like a change, if it is newer than the
// applied state. It then calls confirmed, unless the state that is applied may not include
// the object: it returns an error if the object is of another era than the followed one. That
// of a later era makes all followers list their objects again.
func (f *Follower) ApplyRead(o store.Object, confirmed func()) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	// The state of this follower is of the era of its latest list or change.
	known, applied := f.latest, store.Latest(f.latest, f.covered)
	f.mu.Unlock()
	switch {
	case !f.admitEra(o.Version):
		return errOlderEra
	case applied.Era < o.Version.Era:
		return errRestored
	}
	if known.Before(o.Version) {
		f.mu.Lock()
		f.latest = o.Version
		f.mu.Unlock()
		f.noteChange(&store.Change{Object: o})
		f.order.applyRead(o)
		f.Sink.Change(time.Now(), o)
	}
	confirmed()
	return nil
}

// clock returns the time on Clock, 0 without one.
func (f *Follower) clock() boottime.Instant {
	if f.Clock == nil {
		return 0
	}
	return f.Clock()
}

// confirm calls Confirmed. The caller must hold applying.
func (f *Follower) confirm(started boottime.Instant, era store.Era) {
	if f.Confirmed != nil {
		f.Confirmed(started, era)
	}
}
