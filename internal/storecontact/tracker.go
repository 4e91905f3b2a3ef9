// Package storecontact keeps how long ago any entry last had an answer of the store.
//
// An entry whose own calls to the store fail still hears of all changes as long as another
// entry gets answers. Once no entry does, changes may be made that nobody hears of: a server
// becomes cold, or its zone is evacuated. Entries send each other the age of the latest answer
// that they know of, so that all of them have that of the deployment after a few heartbeats. They
// also tell of calls that fail, which is known sooner.
//
// A report may be read long after it was sent, by an entry whose process was paused. Reports
// therefore carry the time at which they were sent on the sender's clock. By how much later than
// others of the same sender a report arrives is added to its age. An answer counts as of the first
// report of it, since each transmission would make it younger.
//
// Ages are measured by the time since boot, which includes times in which the machine was
// suspended.
//
// # Usage
//
//	t := &storecontact.Tracker{Self: self, Clock: boottime.System()}
//	t.Observe(age)             // an answer of the store to this entry
//	t.Receive(sender, report)  // the report of another entry
//	if age, known := t.Age(); !known || age > limit {
//		// changes may be missing
//	}
package storecontact

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/peer"
)

const (
	// maxDrift is by how much two machines' clocks differ in a time at most, as a divisor
	// of that time.
	maxDrift = 1000
	// retention is for how long an entry is remembered that sends nothing.
	retention = 10 * time.Minute
	// reportTime is for how long what a report says of its sender counts.
	reportTime = 2 * time.Second
)

type (
	// Report tells another entry of the latest answer of the store.
	Report struct {
		_ struct{} `cbor:",toarray"`

		// Origin identifies the process of the entry that had the answer, and AnsweredMs the
		// answer among those that it had. Origin is 0 if the sender knows of no answer.
		Origin     uint32
		AnsweredMs uint64
		// AgeMs is the age of the answer in milliseconds.
		AgeMs uint32
		// SentMs is the time since the boot of the sender's machine in milliseconds.
		SentMs uint64
		// Failing is set while the sender's own calls to the store fail or their answers are
		// overdue.
		Failing bool
		// Checks is set if the sender checks servers while the store is silent, which an
		// entry that is shutting down doesn't.
		Checks bool
	}

	// Tracker keeps the time of the latest answer. It is safe for concurrent use.
	Tracker struct {
		// Self identifies this process.
		Self peer.Sender
		// Clock measures the ages. Both fields must be set before the first call and must not
		// change after it.
		Clock boottime.Clock

		mu      sync.Mutex
		latest  *contact // nil if no answer is known
		senders map[peer.Sender]*sender
		origins map[uint32]contact // latest answer of each origin
	}

	// contact is an answer of the store.
	contact struct {
		origin   uint32
		answered uint64
		at       boottime.Instant // by this entry's clock
	}

	// sender is what is known of the clock of another entry.
	sender struct {
		// offset is the least difference of this entry's clock and the sender's, when a
		// report of it arrived.
		offset time.Duration
		heard  boottime.Instant
		report Report
	}
)

// Observe records an answer of the given age to this entry. Negative ages count as 0.
func (t *Tracker) Observe(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.Clock().Add(-max(age, 0))
	t.observe(contact{originOf(t.Self), milliseconds(time.Duration(at)), at})
}

// observe records an answer, unless it is known or older than another of the same origin. The
// caller holds the lock.
func (t *Tracker) observe(c contact) {
	if known, ok := t.origins[c.origin]; ok && known.answered >= c.answered {
		return
	}
	if t.origins == nil {
		t.origins = make(map[uint32]contact)
	}
	for origin, other := range t.origins {
		if c.at.Sub(other.at) > retention {
			delete(t.origins, origin)
		}
	}
	t.origins[c.origin] = c
	if t.latest == nil || c.at > t.latest.at {
		t.latest = &c
	}
}

// Report returns the report for other entries. Failing and checks are the report's fields of these
// names.
func (t *Tracker) Report(failing, checks bool) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	r := &Report{SentMs: milliseconds(time.Duration(now)), Failing: failing, Checks: checks}
	if t.latest != nil {
		r.Origin, r.AnsweredMs = t.latest.origin, t.latest.answered
		r.AgeMs = uint32(min(milliseconds(now.Sub(t.latest.at)), math.MaxUint32))
	}
	return r
}

func milliseconds(d time.Duration) uint64 { return uint64(max(d.Milliseconds(), 0)) }

// originOf returns the value that identifies a process in reports.
func originOf(s peer.Sender) uint32 {
	return max(uint32(xxhash.Sum64String(fmt.Sprintf("%s %d", s.Instance, s.Incarnation))), 1)
}

// Receive applies the report of another entry, if it sent one.
func (t *Tracker) Receive(from peer.Sender, r *Report) {
	if r == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	offset := time.Duration(now) - time.Duration(r.SentMs)*time.Millisecond
	s := t.senders[from]
	if s == nil {
		s = t.add(now, from, offset)
	}
	s.offset = min(s.offset+now.Sub(s.heard)/maxDrift, offset)
	s.heard = now
	if s.report.SentMs <= r.SentMs { // not overtaken by a later one
		s.report = *r
	}
	if r.Origin == 0 {
		return
	}
	age := time.Duration(r.AgeMs)*time.Millisecond + offset - s.offset
	t.observe(contact{r.Origin, r.AnsweredMs, now.Add(-age)})
}

// add adds a sender, and removes those that have sent nothing for long. The caller holds the lock.
func (t *Tracker) add(now boottime.Instant, from peer.Sender, offset time.Duration) *sender {
	if t.senders == nil {
		t.senders = make(map[peer.Sender]*sender)
	}
	for other, s := range t.senders {
		if now.Sub(s.heard) > retention {
			delete(t.senders, other)
		}
	}
	s := &sender{offset: offset, heard: now}
	t.senders[from] = s
	return s
}

// Age returns the time since the latest answer, and false if there was none.
func (t *Tracker) Age() (age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest == nil {
		return 0, false
	}
	return t.Clock().Sub(t.latest.at), true
}

// OthersFail reports whether the calls to the store of another entry fail, by its latest report.
func (t *Tracker) OthersFail() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.senders {
		if s.report.Failing && t.recent(s) {
			return true
		}
	}
	return false
}

// Declines reports whether another entry checks no servers, by its latest report.
func (t *Tracker) Declines(from peer.Sender) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.senders[from]
	return s != nil && !s.report.Checks && t.recent(s)
}

// recent reports whether the latest report of a sender counts. The caller holds the lock.
func (t *Tracker) recent(s *sender) bool { return t.Clock().Sub(s.heard) < reportTime }
