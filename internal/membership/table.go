package membership

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/instances"
	"github.com/shallotpier/shallotpier/internal/lookup"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Timeout is how long an entry may be silent before it counts as dead.
const Timeout = 2500 * time.Millisecond

// ownPause is the shortest gap between ticks that counts as a pause of the own
// process.
const ownPause = time.Second

type (
	// Table holds what is known of the other entries. Its exported fields must
	// not change after the first call. It is safe for concurrent use.
	Table struct {
		// Self is this entry.
		Self id.Instance

		mu     sync.Mutex
		began  time.Time
		ticked time.Time
		peers  map[id.Instance]*peerState
	}

	// Member is what is known of one other entry at one time.
	Member struct {
		// Instance is the entry.
		Instance id.Instance
		// Incarnation is that of its latest process, 0 if none was heard.
		Incarnation id.Incarnation
		// Own is what it last said of itself.
		Own Own
		// Heard tells that it was heard within Timeout, directly or by a third
		// entry.
		Heard bool
		// Direct tells that it was heard directly within Timeout.
		Direct bool
		// Mutual tells that it was heard directly and lately heard this entry.
		Mutual bool
		// Silence is the time since it was heard, or since the table's first
		// tick if it never was.
		Silence time.Duration
		// Listed is the platform's word on it, empty if there is none.
		Listed instances.State
		// New tells that there was no time yet to hear it.
		New bool
	}

	peerState struct {
		incarnation id.Incarnation
		own         Own
		direct      time.Time
		indirect    time.Time
		hearsUs     time.Time
		listed      instances.State
		started     time.Time
	}
)

// Tick notes that the own process runs. It must be called several times a
// second. A gap counts as a pause of the own process, in which nobody could
// be heard.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.began.IsZero() {
		t.began, t.ticked = now, now
	}
	if gap := now.Sub(t.ticked); gap >= ownPause {
		t.began = t.began.Add(gap)
		for _, p := range t.peers {
			p.shift(gap)
		}
	}
	t.ticked = now
}

// Take takes in a beat that came now, after an exchange that took elapsed. The
// reports of third entries count only in answers, whose age is bounded by
// elapsed. It returns false for a beat of an older incarnation.
func (t *Table) Take(now time.Time, b *Beat, answer bool, elapsed time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(b.Instance)
	if b.Instance == t.Self || b.Incarnation < p.incarnation {
		return false
	}
	if b.Incarnation > p.incarnation {
		*p = peerState{incarnation: b.Incarnation, listed: p.listed, started: p.started}
	}
	p.own, p.direct = b.Own, now
	for _, h := range b.Heard {
		at := now.Add(-elapsed - h.Age.Std())
		switch {
		case h.Instance == t.Self:
			p.hearsUs = later(p.hearsUs, at)
		case answer:
			t.hearsay(&h, at)
		}
	}
	return true
}

// hearsay takes in that a third entry was heard at a time.
func (t *Table) hearsay(h *Heard, at time.Time) {
	p := t.peer(h.Instance)
	switch {
	case h.Incarnation < p.incarnation:
		return
	case h.Incarnation > p.incarnation:
		*p = peerState{incarnation: h.Incarnation, listed: p.listed, started: p.started}
	}
	if at.After(p.indirect) {
		p.indirect = at
		if at.After(p.direct) {
			p.own.Leaving = h.Leaving
		}
	}
}

// List takes in the platform's list. An instance that is not in it keeps the
// word it had.
func (t *Table) List(all []instances.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range all {
		p := t.peer(i.Name)
		if !i.Started.Before(p.started) {
			p.listed, p.started = i.State, i.Started
		}
	}
}

// BeatTo returns this entry's beat to one other entry. It lists only whether
// that one was heard: whoever gets a beat that is no answer goes by no more.
func (t *Table) BeatTo(to id.Instance, now time.Time, incarnation id.Incarnation, own Own) Beat {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := Beat{Instance: t.Self, Incarnation: incarnation, Own: own}
	if p := t.peers[to]; p != nil {
		b.Heard = p.heard(nil, to, now)
	}
	return b
}

// Beat returns this entry's answer to a beat.
func (t *Table) Beat(now time.Time, incarnation id.Incarnation, own Own) Beat {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := Beat{Instance: t.Self, Incarnation: incarnation, Own: own}
	for name, p := range t.peers {
		b.Heard = p.heard(b.Heard, name, now)
	}
	return b
}

// Member returns what is known of an entry at now.
func (t *Table) Member(name id.Instance, now time.Time) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(name)
	last := later(later(p.direct, p.indirect), t.began)
	m := Member{Instance: name, Incarnation: p.incarnation, Own: p.own, Listed: p.listed, Silence: now.Sub(last)}
	m.Direct = within(p.direct, now)
	m.Heard = m.Direct || within(p.indirect, now)
	m.Mutual = m.Direct && within(p.hearsUs, now)
	m.New = !m.Heard && p.incarnation == 0 && m.Silence <= Timeout
	return m
}

// Lookup returns the state of the entry for look-ups: the worse of what its
// beats and the platform's list say.
func (m *Member) Lookup() lookup.State {
	switch {
	case m.Listed == instances.Gone && !m.Heard, !m.Heard && !m.New:
		return lookup.Down
	case m.Own.Leaving, m.Listed == instances.Leaving:
		return lookup.Leaving
	case !m.Heard, m.Own.Starting, m.Own.Config.Version == 0, m.Listed == instances.Gone:
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

// heard appends that the entry of the name was heard directly, if it was.
func (p *peerState) heard(dst []Heard, name id.Instance, now time.Time) []Heard {
	if !within(p.direct, now) {
		return dst
	}
	return append(dst, Heard{Instance: name, Incarnation: p.incarnation, Age: unit.Duration(max(now.Sub(p.direct), 0)), Leaving: p.own.Leaving})
}

// shift moves what was heard by the length of a pause of the own process.
func (p *peerState) shift(gap time.Duration) {
	for _, at := range []*time.Time{&p.direct, &p.indirect, &p.hearsUs} {
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
