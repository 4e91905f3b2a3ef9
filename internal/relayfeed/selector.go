package relayfeed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// minStay is the shortest time for which an entry must have been a leader before it
	// is asked, minHold that for which it isn't asked after its first failure; both are
	// prolonged by a random part of the same length. The entries of a zone then don't
	// change over at the same time, nor after each heartbeat that is late.
	minStay = 2 * time.Second
	minHold = 4 * time.Second
	// maxHold bounds the hold after repeated failures. It is also that of an entry that
	// doesn't know the method, which is of an older build.
	maxHold = time.Minute
	// slowLinkShare is the rate of a leader's link from which it is asked, as a share of the
	// fastest one's.
	slowLinkShare = 0.5
	// forgetTime is how long after its last failure the failures of a leader are
	// forgotten.
	forgetTime = 2 * time.Minute
)

type (
	// Leader is a leader of this entry's availability zone.
	Leader struct {
		// Instance is its name, Incarnation its process.
		Instance    id.Instance
		Incarnation id.Incarnation
		// Silent is the time since its latest heartbeat.
		Silent time.Duration
		// LinkMbps is the rate of its network link in Mbit/s; 0 if unknown.
		LinkMbps float64
	}

	// selector decides which leader is asked.
	selector struct {
		self id.Instance
		// maxSilence is the time without a heartbeat from which a leader isn't asked.
		maxSilence time.Duration
		// draw returns a random duration below a limit.
		draw    func(time.Duration) time.Duration
		leaders map[id.Instance]*leaderState
	}

	leaderState struct {
		incarnation id.Incarnation
		silent      time.Duration
		linkMbps    float64
		// from is the time from which it may be asked.
		from     time.Time
		failures int
		failedAt time.Time
		// proven is whether it has answered since the last failure.
		proven bool
	}
)

// observe updates the leaders.
func (s *selector) observe(now time.Time, leaders []Leader) {
	seen := make(map[id.Instance]*leaderState, len(leaders))
	for _, l := range leaders {
		state := s.leaders[l.Instance]
		if state == nil || state.incarnation != l.Incarnation {
			state = &leaderState{incarnation: l.Incarnation, from: now.Add(minStay + s.draw(minStay))}
		}
		state.silent, state.linkMbps = l.Silent, l.LinkMbps
		seen[l.Instance] = state
	}
	s.leaders = seen
}

// pick returns the leader to ask. Entries of a zone spread over its leaders, but for those
// whose link is much slower than another one's: they would be late for all that ask them.
func (s *selector) pick(now time.Time) (leader id.Instance, proven, ok bool) {
	var usable []id.Instance
	for name := range s.leaders {
		if s.usable(now, name) {
			usable = append(usable, name)
		}
	}
	if len(usable) == 0 {
		return "", false, false
	}
	fastest := 0.0
	for _, name := range usable {
		fastest = max(fastest, s.leaders[name].linkMbps)
	}
	usable = slices.DeleteFunc(usable, func(name id.Instance) bool {
		rate := s.leaders[name].linkMbps
		return rate > 0 && rate < fastest*slowLinkShare
	})
	best := slices.MinFunc(usable, func(a, b id.Instance) int { return cmp.Compare(s.rank(a), s.rank(b)) })
	return best, s.leaders[best].proven, true
}

func (s *selector) rank(leader id.Instance) uint64 {
	return xxhash.Sum64String(string(s.self) + "\x00" + string(leader))
}

// usable reports whether a leader may be asked.
func (s *selector) usable(now time.Time, leader id.Instance) bool {
	l := s.leaders[leader]
	return l != nil && l.silent <= s.maxSilence && !now.Before(l.from)
}

// succeed records an answer.
func (s *selector) succeed(now time.Time, leader id.Instance) {
	l := s.leaders[leader]
	if l == nil {
		return
	}
	l.proven = true
	if now.Sub(l.failedAt) > forgetTime {
		l.failures = 0
	}
}

// pause records that a leader says itself that it can't answer now, and returns the time for
// which it isn't asked. That is no failure: an outage of the store would otherwise keep the
// entries from their leaders for minutes after it.
func (s *selector) pause(now time.Time, leader id.Instance) time.Duration {
	l := s.leaders[leader]
	if l == nil {
		return 0
	}
	hold := minHold + s.draw(minHold)
	l.proven, l.from = false, now.Add(hold)
	return hold
}

// fail records a failure and returns the time for which the leader isn't asked; unknown is
// whether it doesn't know the method.
func (s *selector) fail(now time.Time, leader id.Instance, unknown bool) time.Duration {
	l := s.leaders[leader]
	if l == nil {
		return 0
	}
	hold := min(minHold<<min(l.failures, 8), maxHold)
	if unknown {
		hold = maxHold
	}
	hold += s.draw(hold)
	l.failures, l.failedAt, l.proven, l.from = l.failures+1, now, false, now.Add(hold)
	return hold
}
