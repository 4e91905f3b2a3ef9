package relayfeed

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/store"
)

const (
	// maxChanges and maxBytes bound the changes that a Log keeps. An entry that needs
	// earlier ones asks for a list.
	maxChanges = 4096
	maxBytes   = 2 << 20
	// settleTime is how long after an outage or a restore of the store, or its own start,
	// an entry sends no answers: the others then list the objects at the store, and treat
	// what is missing in the list as they do after an outage.
	settleTime = 5 * time.Second
)

type (
	// Log keeps the objects of one kind, and their latest changes, as they came from the
	// store. It implements follow.Recorder. The zero value is ready for use. It is safe for
	// concurrent use.
	Log struct {
		mu      sync.Mutex
		objects map[string]store.Object
		// batches are complete from the version start to the last one's end.
		batches        []batch
		start, covered store.Version
		latest         store.Version // the newest change in objects
		changes, bytes int           // sums of batches

		relayed        bool // the latest answer is from another entry
		failed         bool // the latest call failed
		answeredAt     time.Time
		availableSince time.Time
		updated        chan struct{} // closed with the next answer or failure
	}

	// batch holds the changes of one answer.
	batch struct {
		end     store.Version // the changes are complete up to it
		changes []store.Change
		bytes   int
	}
)

var _ follow.Recorder = (*Log)(nil)

// RecordList implements follow.Recorder. Changes before a list aren't known: what it lacks
// may have been removed, or may be missing after an outage of the store.
func (l *Log) RecordList(all []store.Object, covered store.Version, o follow.Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.covered.Era != covered.Era {
		l.availableSince = time.Time{}
	}
	l.objects = make(map[string]store.Object, len(all))
	for i := range all {
		l.objects[all[i].Key] = all[i]
	}
	l.batches, l.changes, l.bytes, l.start = nil, 0, 0, covered
	l.recordAnswer(covered, o)
}

// RecordChanges implements follow.Recorder.
func (l *Log) RecordChanges(changes []store.Change, covered store.Version, o follow.Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.objects == nil {
		return // no list yet
	}
	b := batch{end: covered, changes: changes}
	for i := range changes {
		c := &changes[i]
		b.bytes += len(c.Key) + len(c.Value)
		if c.Removed {
			delete(l.objects, c.Key)
			continue
		}
		l.objects[c.Key] = c.Object
	}
	if len(changes) > 0 {
		l.batches = append(l.batches, b)
		l.changes, l.bytes = l.changes+len(changes), l.bytes+b.bytes
		l.trim()
	}
	l.recordAnswer(covered, o)
}

// RecordFailure implements follow.Recorder.
func (l *Log) RecordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed, l.availableSince = true, time.Time{}
	l.notify()
}

// trim removes the oldest batches. The caller must hold mu.
func (l *Log) trim() {
	for len(l.batches) > 0 && (l.changes > maxChanges || l.bytes > maxBytes) {
		oldest := &l.batches[0]
		l.start = oldest.end
		l.changes, l.bytes = l.changes-len(oldest.changes), l.bytes-oldest.bytes
		l.batches = slices.Delete(l.batches, 0, 1)
	}
}

// recordAnswer records an answer. The caller must hold mu.
func (l *Log) recordAnswer(covered store.Version, o follow.Origin) {
	now := time.Now()
	if l.availableSince.IsZero() {
		l.availableSince = now
	}
	l.covered, l.latest, l.relayed, l.failed = covered, o.Latest, o.Relayed(), false
	l.answeredAt = now.Add(-o.Age)
	l.notify()
}

func (l *Log) notify() {
	if l.updated != nil {
		close(l.updated)
		l.updated = nil
	}
}

// wait returns a channel that is closed with the next answer or failure.
func (l *Log) wait() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.updated == nil {
		l.updated = make(chan struct{})
	}
	return l.updated
}

// list returns the objects, sorted by key.
func (l *Log) list(now time.Time) *answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.state(now); s != answered {
		return &answer{Status: s}
	}
	a := l.answer(now)
	for _, o := range slices.SortedFunc(maps.Values(l.objects), func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) }) {
		a.Changes = append(a.Changes, change{Object: o})
	}
	return a
}

// after returns the changes after a version, which may be none.
func (l *Log) after(now time.Time, version store.Version) *answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(now)
	switch {
	case s != answered:
	case version.Era != l.covered.Era:
		s = otherEra
	case version.Before(l.start):
		s = compacted
	case l.covered.Before(version):
		s = behind
	}
	if s != answered {
		return &answer{Status: s}
	}
	a := l.answer(now)
	for i := range l.batches {
		if b := &l.batches[i]; version.Before(b.end) {
			a.Changes = appendAfter(a.Changes, b.changes, version)
		}
	}
	return a
}

// appendAfter appends the changes after a version. The version of a removal may be that of
// the removed object, so that removals count as later unless a change behind them isn't.
// Repeated removals have no effect.
func appendAfter(out []change, changes []store.Change, version store.Version) []change {
	first := 0
	for i := range changes {
		if !changes[i].Removed && !version.Before(changes[i].Version) {
			first = i + 1
		}
	}
	for i := range changes[first:] {
		c := &changes[first+i]
		out = append(out, change{Object: c.Object, Removed: c.Removed})
	}
	return out
}

// state returns answered if this entry may answer others. The caller must hold mu.
func (l *Log) state(now time.Time) status {
	switch {
	case l.objects == nil, l.failed:
		return unavailable
	case l.relayed:
		return indirect
	case now.Sub(l.availableSince) < settleTime:
		return settling
	default:
		return answered
	}
}

func (l *Log) answer(now time.Time) *answer {
	return &answer{Status: answered, Version: l.covered, Latest: l.latest, Age: now.Sub(l.answeredAt)}
}
