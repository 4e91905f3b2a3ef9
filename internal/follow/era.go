package follow

import (
	"errors"
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
)

var (
	errRestored = errors.New("store restored from an older copy")
	errOlderEra = errors.New("answer of an older era")
)

// Era returns the latest era in any answer of the store, 0 if there was none.
func (f *Follower) Era() store.Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// ObserveEra records the era of an answer of the store to another call of this
// entry. A later era than any before ends the current watch, so that the objects are
// listed again, and excludes answers of earlier eras from now on.
func (f *Follower) ObserveEra(era store.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era <= f.era {
		return
	}
	f.era = era
	if f.cancelWatch != nil {
		f.cancelWatch(errRestored)
	}
	if f.unavailable {
		f.wakeRetry()
	}
}

// admitEra records the era of an answer to this follower. It returns false if the
// answer must be dropped, as the store has given one of a later era before.
func (f *Follower) admitEra(answer store.Version) bool {
	f.mu.Lock()
	known := f.era
	f.era = max(known, answer.Era)
	f.mu.Unlock()
	if answer.Era < known {
		f.Log.Warn("answer of an older era dropped", "kind", f.Kind, "era", known, "version", answer)
		f.count("shallotpier_store_answers_dropped_total")
		return false
	}
	if answer.Era > known && f.onEra != nil {
		f.onEra(answer.Era)
	}
	return true
}

// checkEra returns an error if the changes in the answer to a watch from a version
// don't continue this version.
func (f *Follower) checkEra(from, answer store.Version) error {
	switch {
	case !f.admitEra(answer):
		return errOlderEra
	case from.Era < f.Era():
		return errRestored
	default:
		return nil
	}
}

// handleRestore reports that the state to be applied next may be older than the applied
// one. The caller must hold applying.
func (f *Follower) handleRestore(now time.Time, before, after store.Version, source string) {
	if before.Era < after.Era {
		f.Log.Warn("store restored from an older copy", "kind", f.Kind, "eraBefore", before.Era, "era", after.Era,
			"revisionBefore", before.Revision, "revision", after.Revision, "source", source)
		f.count("shallotpier_store_restores_total")
	}
	f.Sink.StoreRestored(now, before, after)
}
