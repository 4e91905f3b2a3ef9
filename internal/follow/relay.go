package follow

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// arrivalCheck is the interval of checks whether an answer is still arriving.
const arrivalCheck = 100 * time.Millisecond

type (
	// RelayFeed is a Feed that may get its answers from another entry instead of the
	// store. Follower asks for the origin of each answer before the next call.
	RelayFeed interface {
		store.Feed
		// Origin returns where the latest answer is from.
		Origin() Origin
		// Redirect lets the call in progress continue at the store if it waits for
		// another entry. It is called when that entry is late with a change.
		Redirect()
		// Reject excludes the entry of the latest answer for a while. It is called if
		// the answer can't be used.
		Reject()
	}

	// Origin tells where an answer is from. The zero value stands for the store.
	//
	// An answer of another entry proves nothing about the time at which it arrives:
	// the entry had it from the store earlier, at an unknown time.
	Origin struct {
		// Entry is the entry that sent the answer, empty for the store.
		Entry id.Instance
		// Age is the time since the store's last answer to that entry.
		Age time.Duration
		// Latest is the version of the newest change that is contained in that entry's
		// state as of the answer.
		Latest store.Version
	}

	// Recorder receives the answers that a Follower has applied, and its failures. Its
	// methods must not block.
	Recorder interface {
		// RecordList is called with a complete list of the objects as of a version.
		RecordList(all []store.Object, covered store.Version, origin Origin)
		// RecordChanges is called with the changes up to a version, which may be none.
		RecordChanges(changes []store.Change, covered store.Version, origin Origin)
		// RecordFailure is called when neither the store nor another entry answers.
		RecordFailure()
	}
)

// Relayed reports whether the answer is from another entry.
func (o Origin) Relayed() bool { return o.Entry != "" }

// origin returns the origin of the latest answer.
func (f *Follower) origin() Origin {
	if r, ok := f.Feed.(RelayFeed); ok {
		return r.Origin()
	}
	return Origin{}
}

// rejects reports whether a list is from another entry and must not be applied, because
// it is of another era or older than what this entry has or has heard of. The feed then
// excludes that entry.
func (f *Follower) rejects(list store.Version) bool {
	o := f.origin()
	if !o.Relayed() {
		return false
	}
	f.mu.Lock()
	needed := store.Latest(store.Latest(f.latest, f.covered), f.invalidation)
	rejected := list.Era != f.era || list.Before(needed)
	f.mu.Unlock()
	if rejected {
		f.Log.Info("list of another entry left out", "kind", f.Kind, "instance", o.Entry, "version", list, "needed", needed)
		f.Feed.(RelayFeed).Reject() //nolint:forcetypeassert // only a RelayFeed relays
	}
	return rejected
}

// awaitChange checks in time whether the watch has delivered a change that another entry
// has applied.
func (f *Follower) awaitChange(version store.Version) {
	if r, ok := f.Feed.(RelayFeed); ok {
		// The entry that is asked may be in the delay between two of its own watches.
		time.AfterFunc(f.Batch, func() { f.redirectIfLate(r, version) })
	}
	time.AfterFunc(f.StallTimeout, func() { f.checkStalled(version) })
}

// redirectIfLate redirects the call in progress if it hasn't delivered a change, once no answer is
// arriving.
func (f *Follower) redirectIfLate(r RelayFeed, version store.Version) {
	switch {
	case !f.isBehind(version):
	case f.receiving():
		time.AfterFunc(arrivalCheck, func() { f.redirectIfLate(r, version) })
	default:
		r.Redirect()
	}
}

func (f *Follower) isBehind(version store.Version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.covered.Before(version)
}

// recordChanges passes an applied answer to the Recorder.
func (f *Follower) recordChanges(changes []store.Change, covered store.Version, o Origin) {
	if f.Recorder != nil {
		o.Latest = f.Latest()
		f.Recorder.RecordChanges(changes, covered, o)
	}
}

// recordList passes an applied list to the Recorder.
func (f *Follower) recordList(all []store.Object, covered store.Version, o Origin) {
	if f.Recorder != nil {
		o.Latest = f.Latest()
		f.Recorder.RecordList(all, covered, o)
	}
}

// relayedLatest returns the newest change that an answer of another entry stands for.
// Its covered version is no substitute: an entry that announced it would make all others
// list the objects that have not received an answer as late as that.
func relayedLatest(o Origin, covered store.Version) store.Version {
	if covered.Before(o.Latest) {
		return covered
	}
	return o.Latest
}
