package freshness

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// margin is the part of the bound that is left for clocks of different rates: the age of a
// proof is measured on the clocks of all entries that it has passed.
const margin = 0.05

// Sources of a proof.
const (
	// Store is a list or a watch of the configuration.
	Store Source = "store"
	// Read is a read of the configuration alone.
	Read Source = "read"
	// Entry is an answer of another entry.
	Entry Source = "entry"
)

// Verdicts on an answer.
const (
	// Proved means that the answer is a proof, or an older one than the known one.
	Proved Verdict = "proved"
	// Superseded means that the other entry has a newer configuration.
	Superseded Verdict = "superseded"
	// Unproved means that the other entry holds no proof.
	Unproved Verdict = "unproved"
	// OlderEra means that the answer is of an older era of the store.
	OlderEra Verdict = "olderEra"
	// Contradicted means that the store doesn't hold the newer configuration of which
	// another entry had told before the store was asked: it has been restored from a copy
	// that lacks it.
	Contradicted Verdict = "contradicted"
)

type (
	// Source is where a proof comes from.
	Source string

	// Verdict is what an answer proves.
	Verdict string

	// Proof shows that the configuration in force was the newest one at a moment.
	Proof struct {
		// Moment is the latest moment that is proved.
		Moment boottime.Instant
		// Version is the version in force when the proof was recorded.
		Version id.Version
		// Era is that of the answer of the store from which the proof comes.
		Era store.Era
		// Source is where it comes from.
		Source Source
		// From is the entry that has given it, empty if it is from the store.
		From id.Instance
		// Origin is the entry that has asked the store, empty if it is this one.
		Origin id.Instance
	}

	// Claim is another entry's word that it has a newer configuration.
	Claim struct {
		// Version is the version in force there.
		Version id.Version
		// From is that entry.
		From id.Instance
		// At is when this entry heard of it.
		At boottime.Instant
	}

	// Tracker holds the latest proof of an entry. It is safe for concurrent use.
	Tracker struct {
		mu    sync.Mutex
		bound time.Duration
		held  bool // proof is set
		proof Proof
		era   store.Era // the latest in any answer
		claim Claim     // of the newest version
	}
)

// SetBound sets the time for which a revoked key may be accepted, 0 for no bound.
func (t *Tracker) SetBound(bound time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bound = bound
}

// Bound returns the age up to which a proof counts: the bound less a margin, 0 if there is no
// bound.
func (t *Tracker) Bound() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return limit(t.bound)
}

// Fresh reports whether the proof is recent enough. It is true without a bound.
func (t *Tracker) Fresh(now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bound <= 0 || t.held && now.Sub(t.proof.Moment) <= limit(t.bound)
}

// Age returns the age of the proof, and false if there is none.
func (t *Tracker) Age(now boottime.Instant) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.proof.Moment), t.held
}

// Proof returns the latest proof, and false if there is none.
func (t *Tracker) Proof() (Proof, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.proof, t.held
}

// Prove records an answer of the store of an era that was asked for at a moment, and whose
// contents have been applied. Own is the version in force since.
func (t *Tracker) Prove(moment boottime.Instant, era store.Era, own id.Version, source Source) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era < t.era {
		return OlderEra
	}
	t.era = era
	if t.contradicts(moment, own) {
		// The proof before may be an answer of the restored store as well.
		t.held = false
		return Contradicted
	}
	t.record(Proof{Moment: moment, Version: own, Era: era, Source: source})
	return Proved
}

// ProveByPeer records the answer of another entry to a question that was asked at a time.
// Own is the version in force at this entry. The configuration must be listed at once if the
// verdict is Superseded.
func (t *Tracker) ProveByPeer(asked, now boottime.Instant, a *Answer, own id.Version) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case own < a.Version:
		t.hear(Claim{Version: a.Version, From: a.From, At: now})
		return Superseded
	case !a.Proved || a.Age < 0:
		return Unproved
	case a.Era < t.era:
		return OlderEra
	}
	t.era = a.Era
	moment := asked.Add(-a.Age)
	if t.contradicts(moment, own) {
		return Contradicted
	}
	t.record(Proof{Moment: moment, Version: own, Era: a.Era, Source: Entry, From: a.From, Origin: a.Origin})
	return Proved
}

// Hear records the version in force at another entry, and reports whether it is newer than
// the own one and wasn't known.
func (t *Tracker) Hear(c Claim, own id.Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return own < c.Version && t.hear(c)
}

// Lacking returns the claim of a newer version than the own one, and false if there is none.
func (t *Tracker) Lacking(own id.Version) (Claim, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.claim, own < t.claim.Version
}

func (t *Tracker) hear(c Claim) bool {
	if c.Version == t.claim.Version {
		t.claim.From = c.From // the one that said so before may have ended
	}
	if c.Version <= t.claim.Version {
		return false
	}
	t.claim = c
	return true
}

// contradicts reports whether an answer that left this entry with version own denies what
// another entry had claimed before the answer's moment.
func (t *Tracker) contradicts(moment boottime.Instant, own id.Version) bool {
	return own < t.claim.Version && t.claim.At <= moment
}

func (t *Tracker) record(p Proof) {
	if !t.held || t.proof.Moment < p.Moment {
		t.held, t.proof = true, p
	}
}

func limit(bound time.Duration) time.Duration {
	return bound - time.Duration(float64(bound)*margin)
}
