// Package authority decides when an entry that has started may grant tokens.
//
// Before it grants the tokens of organisations that it is accountable for, the entries that
// were accountable before must know it, so that they no longer grant them. An instance is known
// to all once its registration has been in the store for longer than the interval of the lists,
// whichever process has written it first. When the whole system starts for the first time no
// entry has granted anything; they begin once they have found each other.
//
// # Usage
//
//	r.Registered(now, age)
//	limiter.SetGranting(r.MayGrant(now, state))
package authority

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
)

const (
	// KnownAfter is how long after its first registration an entry is known to all others:
	// they list the entries every 10 s, and a list may take a failed call.
	KnownAfter = 12 * time.Second
	// FoundAfter is how long the list of entries must be unchanged at a first start. A new
	// entry is known to all within two heartbeat intervals and the delays of relaying.
	FoundAfter = 2 * time.Second
)

type (
	// State is what an entry knows of itself and the others.
	State struct {
		// Listed is set once the entry has a complete list of the entries.
		Listed bool
		// Entries is the number of known entries.
		Entries int
		// FirstStart is set if all entries have just started for the first time.
		FirstStart bool
		// Left is set once the entry gives up its registration.
		Left bool
	}

	// Rule decides for one process. The zero Rule is that of a process that has just
	// started.
	Rule struct {
		registered boottime.Instant
		isSet      bool
		granting   bool
		entries    int
		changed    boottime.Instant
	}
)

// Registered records the first registration of the process, and for how long the instance has
// been registered.
func (r *Rule) Registered(now boottime.Instant, age time.Duration) {
	if !r.isSet {
		r.isSet, r.registered = true, now.Add(-age)
	}
}

// MayGrant reports whether the entry may grant tokens. It is called a few times a second. An
// entry that may keeps on granting until it leaves.
func (r *Rule) MayGrant(now boottime.Instant, s State) bool {
	if s.Entries != r.entries {
		r.entries, r.changed = s.Entries, now
	}
	switch {
	case s.Left:
		r.granting = false
		return false
	case r.granting:
		return true
	case !r.isSet || !s.Listed:
		return false
	}
	r.granting = now.Sub(r.registered) >= KnownAfter ||
		s.FirstStart && now.Sub(max(r.changed, r.registered)) >= FoundAfter
	return r.granting
}
