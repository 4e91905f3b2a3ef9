package membership

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/instances"
	"github.com/shallotpier/shallotpier/internal/lookup"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Timeout is the time without a heartbeat after which an entry is down.
const Timeout = 2500 * time.Millisecond

// minPause is the shortest gap between ticks that counts as a pause of this
// process.
const minPause = time.Second

type (
	// Table holds the state of the other entries. Its exported fields must not
	// change after the first call. It is safe for concurrent use.
	Table struct {
		// Self is the name of this entry.
		Self id.Instance

		mu     sync.Mutex
		began  time.Time
		ticked time.Time
		peers  map[id.Instance]*peerState
	}

	// Member is the state of another entry at one time.
	Member struct {
		// Instance is the entry's name.
		Instance id.Instance
		// Incarnation is that of its latest known process, 0 if there is
		// none.
		Incarnation id.Incarnation
		// Own is the state that it last reported of itself.
		Own Own
		// Alive reports whether a heartbeat of it was received within Timeout,
		// directly or according to a relayed report.
		Alive bool
		// Direct reports whether a heartbeat was received directly within
		// Timeout.
		Direct bool
		// Mutual reports whether heartbeats pass in both directions: Direct
		// holds, and it received a heartbeat of this entry within Timeout.
		Mutual bool
		// Silence is the time since its last heartbeat, or since the table's
		// first tick if there was none.
		Silence time.Duration
		// Listed is its state in the platform's list, empty if it was never
		// listed.
		Listed instances.State
		// New reports whether no heartbeat of it is known yet and Timeout has
		// not passed since the table's first tick.
		New bool
	}

	peerState struct {
		incarnation id.Incarnation
		own         Own
		lastDirect  time.Time
		lastRelayed time.Time
		lastAcked   time.Time
		listed      instances.State
		started     time.Time
	}
)

// Tick records that this process is running. It must be called several times a
// second. A gap of a second or more counts as a pause of this process, during
// which no heartbeat could be received.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.began.IsZero() {
		t.began, t.ticked = now, now
	}
	if gap := now.Sub(t.ticked); gap >= minPause {
		t.began = t.began.Add(gap)
		for _, p := range t.peers {
			p.shift(gap)
		}
	}
	t.ticked = now
}

// Apply applies a heartbeat received at now, after an exchange that took
// elapsed. Reports on third entries are applied only from answers, whose age is
// bounded by elapsed. Apply returns false for a heartbeat of an older
// incarnation, or of this entry itself.
func (t *Table) Apply(now time.Time, b *Beat, answer bool, elapsed time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(b.Instance)
	if b.Instance == t.Self || b.Incarnation < p.incarnation {
		return false
	}
	if b.Incarnation > p.incarnation {
		*p = peerState{incarnation: b.Incarnation, listed: p.listed, started: p.started}
	}
	p.own, p.lastDirect = b.Own, now
	for _, h := range b.Observed {
		at := now.Add(-elapsed - h.Age.Std())
		switch {
		case h.Instance == t.Self:
			p.lastAcked = later(p.lastAcked, at)
		case answer:
			t.applyRelayed(&h, at)
		}
	}
	return true
}

// applyRelayed applies a report that another entry received a heartbeat of a
// third one at the given time.
func (t *Table) applyRelayed(h *Observation, at time.Time) {
	p := t.peer(h.Instance)
	switch {
	case h.Incarnation < p.incarnation:
		return
	case h.Incarnation > p.incarnation:
		*p = peerState{incarnation: h.Incarnation, listed: p.listed, started: p.started}
	}
	if at.After(p.lastRelayed) {
		p.lastRelayed = at
		if at.After(p.lastDirect) {
			p.own.Leaving = h.Leaving
		}
	}
}

// ApplyList applies the platform's list. An instance that is not in it keeps
// its last listed state.
func (t *Table) ApplyList(all []instances.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range all {
		p := t.peer(i.Name)
		if !i.Started.Before(p.started) {
			p.listed, p.started = i.State, i.Started
		}
	}
}

// HeartbeatTo returns this entry's heartbeat to another entry. It lists only
// the receiver, since the receiver of a heartbeat that is not an answer ignores
// all other reports.
func (t *Table) HeartbeatTo(to id.Instance, now time.Time, incarnation id.Incarnation, own Own) Beat {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := Beat{Instance: t.Self, Incarnation: incarnation, Own: own}
	if p := t.peers[to]; p != nil {
		b.Observed = p.appendObservation(nil, to, now)
	}
	return b
}

// Answer returns this entry's answer to a heartbeat.
func (t *Table) Answer(now time.Time, incarnation id.Incarnation, own Own) Beat {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := Beat{Instance: t.Self, Incarnation: incarnation, Own: own}
	for name, p := range t.peers {
		b.Observed = p.appendObservation(b.Observed, name, now)
	}
	return b
}

// Member returns the state of an entry at now.
func (t *Table) Member(name id.Instance, now time.Time) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(name)
	last := later(later(p.lastDirect, p.lastRelayed), t.began)
	m := Member{Instance: name, Incarnation: p.incarnation, Own: p.own, Listed: p.listed, Silence: now.Sub(last)}
	m.Direct = within(p.lastDirect, now)
	m.Alive = m.Direct || within(p.lastRelayed, now)
	m.Mutual = m.Direct && within(p.lastAcked, now)
	m.New = !m.Alive && p.incarnation == 0 && m.Silence <= Timeout
	return m
}

// Lookup returns the state of the entry for lookups: the worse of its states
// according to the heartbeats and to the platform's list.
func (m *Member) Lookup() lookup.State {
	switch {
	case m.Listed == instances.Gone && !m.Alive, !m.Alive && !m.New:
		return lookup.Down
	case m.Own.Leaving, m.Listed == instances.Leaving:
		return lookup.Leaving
	case !m.Alive, m.Own.Starting, m.Own.Config.Version == 0, m.Listed == instances.Gone:
		return lookup.Doubtful
	default:
		return lookup.Live
	}
}

func (t *Table) peer(name id.Instance) *peerState {
	p := t.peers[name]
	if p == nil {
		p = new(peerState)
		if t.peers == nil {
			t.peers = map[id.Instance]*peerState{}
		}
		t.peers[name] = p
	}
	return p
}

// appendObservation appends a report on the named entry if a heartbeat was
// received directly from it within Timeout.
func (p *peerState) appendObservation(dst []Observation, name id.Instance, now time.Time) []Observation {
	if !within(p.lastDirect, now) {
		return dst
	}
	return append(dst, Observation{Instance: name, Incarnation: p.incarnation, Age: unit.Duration(max(now.Sub(p.lastDirect), 0)), Leaving: p.own.Leaving})
}

// shift moves the times of the received heartbeats by the length of a pause of
// this process.
func (p *peerState) shift(gap time.Duration) {
	for _, at := range []*time.Time{&p.lastDirect, &p.lastRelayed, &p.lastAcked} {
		if !at.IsZero() {
			*at = at.Add(gap)
		}
	}
}

func within(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < Timeout }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
