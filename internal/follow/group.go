package follow

import (
	"context"
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
)

// Group holds the followers of all kinds that an entry needs. It is not changed
// after its first use.
type Group map[Kind]*Follower

// Run runs all until ctx ends.
func (g Group) Run(ctx context.Context) {
	for _, f := range g {
		go f.Run(ctx)
	}
}

// Changes returns the newest changes that are known, by kind.
func (g Group) Changes() map[Kind]store.Version {
	out := make(map[Kind]store.Version, len(g))
	for kind, f := range g {
		if version := f.Latest(); version > 0 {
			out[kind] = version
		}
	}
	return out
}

// Hint takes in the newest changes that another entry knows.
func (g Group) Hint(changes map[Kind]store.Version) {
	for kind, version := range changes {
		if f := g[kind]; f != nil {
			f.Hint(version)
		}
	}
}

// Missing returns the kinds of which another entry may know what the store
// doesn't tell this one, with the newest change that is known of each.
func (g Group) Missing() map[Kind]store.Version {
	var out map[Kind]store.Version
	for kind, f := range g {
		if f.Missing() {
			if out == nil {
				out = make(map[Kind]store.Version)
			}
			out[kind] = f.Latest()
		}
	}
	return out
}

// Age returns how long ago the store answered last for a kind, 0 if it isn't
// followed.
func (g Group) Age(kind Kind, now time.Time) time.Duration {
	if f := g[kind]; f != nil {
		return f.Age(now)
	}
	return 0
}

// Steady returns for how long the store has answered all along for a kind, 0 if it
// isn't followed.
func (g Group) Steady(kind Kind, now time.Time) time.Duration {
	if f := g[kind]; f != nil {
		return f.Steady(now)
	}
	return 0
}
