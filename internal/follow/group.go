package follow

import (
	"context"
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
)

// Group holds an entry's followers by kind. It must not be changed after its first
// use.
type Group map[Kind]*Follower

// Run starts all followers, which run until ctx ends.
func (g Group) Run(ctx context.Context) {
	for _, f := range g {
		f.onEra = g.ObserveEra
	}
	for _, f := range g {
		go f.Run(ctx)
	}
}

// ObserveEra records the era of an answer of the store to any call of this entry. A
// later era than any before makes all followers list their objects again.
func (g Group) ObserveEra(era store.Era) {
	for _, f := range g {
		f.ObserveEra(era)
	}
}

// Era returns the latest era in any answer of the store for a kind, 0 if the kind
// isn't followed.
func (g Group) Era(kind Kind) store.Era {
	if f := g[kind]; f != nil {
		return f.Era()
	}
	return 0
}

// Changes returns the versions of the newest applied changes, by kind.
func (g Group) Changes() map[Kind]store.Version {
	out := make(map[Kind]store.Version, len(g))
	for kind, f := range g {
		if version := f.Latest(); !version.IsZero() {
			out[kind] = version
		}
	}
	return out
}

// Invalidate records the versions of the newest changes that another entry has
// applied.
func (g Group) Invalidate(changes map[Kind]store.Version) {
	for kind, version := range changes {
		if f := g[kind]; f != nil {
			f.Invalidate(version)
		}
	}
}

// NeedsPeerState returns the kinds for which the store is unavailable and this entry
// lacks state that a peer may have, with the version that a peer's state must exceed.
func (g Group) NeedsPeerState() map[Kind]store.Version {
	var out map[Kind]store.Version
	for kind, f := range g {
		if f.NeedsPeerState() {
			if out == nil {
				out = make(map[Kind]store.Version)
			}
			f.mu.Lock()
			out[kind] = f.newest()
			f.mu.Unlock()
		}
	}
	return out
}

// Age returns the time since the store's last answer for a kind, 0 if the kind isn't
// followed.
func (g Group) Age(kind Kind, now time.Time) time.Duration {
	if f := g[kind]; f != nil {
		return f.Age(now)
	}
	return 0
}

// AvailableFor returns for how long the store has been available without interruption
// for a kind, 0 if the kind isn't followed.
func (g Group) AvailableFor(kind Kind, now time.Time) time.Duration {
	if f := g[kind]; f != nil {
		return f.AvailableFor(now)
	}
	return 0
}
