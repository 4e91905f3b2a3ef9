package lease_test

import (
	"fmt"
	"hash/maphash"
	"testing"
	"time"

	"github.com/shallotpier/shallotpier/internal/lease"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	tick     = time.Second
	lifetime = 2 * tick // with the margin of a tenth a holder stops at the tick before
	deadline = tick
	horizon  = 5 // explored ticks
	maxOps   = 1 // further writes of the first process; the second makes one more
)

type (
	// op is a write in flight. It may take effect at any time, or never, and
	// its answer may be lost.
	op struct {
		write     lease.Write
		began     int
		inFlight  bool
		effective bool
		conflict  bool
		version   store.Version
	}

	// model is the state of two processes, a store, and the writes in flight. It
	// is comparable, so that states visited before are recognised.
	model struct {
		now     int
		record  lease.Record
		version store.Version
		holders [2]lease.Holder
		ops     [2]op
		stray   op // a write whose process no longer awaits the answer
		begun   [2]int
		checked [2]int // end of the grant that a check allowed and that is not given yet
		ends    [2]int // latest end of a given grant
		gone    bool   // the platform reports process 0's instance as gone
		dead    bool   // process 0 never runs again
		ticked  int    // when process 0 last ran
	}

	explorer struct {
		timed      bool
		unchecked  bool                // processes act without checking the remaining time
		ticks      bool                // processes call Tick, so leases stay valid in an outage
		undetected bool                // pauses are not detected
		seen       map[uint64]struct{} // hashes of the states visited
		seed       maphash.Seed
		violation  string
	}
)

func at(ticks int) time.Time { return time.Unix(0, 0).Add(time.Duration(ticks) * tick) }

// horizon returns the explored ticks, one less if processes call Tick, since that
// gives more states.
func (e *explorer) horizon() int {
	if e.ticks {
		return horizon - 1
	}
	return horizon
}

// start returns a state in which the first process has just acquired the lease.
func start(timed, ticks bool) model {
	var m model
	for i, name := range []id.Instance{"a", "b"} {
		m.holders[i] = lease.Holder{Self: lease.Owner{Instance: name, Incarnation: 1}, Lifetime: lifetime, Deadline: deadline, Timed: timed}
	}
	first := lease.Write{Record: lease.Record{Term: 1, Holder: m.holders[0].Self}}
	if ticks {
		m.holders[0].Tick(at(0))
		m.holders[1].Tick(at(0))
	}
	m.holders[0].ApplyWrite(at(0), at(0), first, store.Version{Revision: 1})
	m.holders[1].ApplyRead(at(0), first.Record, store.Version{Revision: 1})
	m.record, m.version = first.Record, store.Version{Revision: 1}
	return m
}

// explore visits all states reachable from m.
func (e *explorer) explore(m model) {
	key := maphash.Comparable(e.seed, m)
	if _, ok := e.seen[key]; ok || e.violation != "" || m.now > e.horizon() {
		return
	}
	e.seen[key] = struct{}{}
	e.check(m)
	e.advance(m)
	if !m.gone && !e.timed && e.mayReportGone(m) {
		next := m
		next.gone = true
		e.explore(next) // a report of the platform, correct or not
	}
	e.applyInFlight(m)
	for i := range m.holders {
		e.step(m, i)
	}
}

// advance moves the time forward by a tick, in which both processes may be paused;
// with ticks, the first process runs, is paused, or has died.
func (e *explorer) advance(m model) {
	next := m
	next.now++
	if !e.ticks {
		e.explore(next)
		return
	}
	next.holders[1].Tick(at(next.now))
	paused := next
	if e.undetected {
		paused.holders[0].Tick(at(paused.now))
	}
	e.explore(paused)
	if !m.dead {
		next.holders[0].Tick(at(next.now))
		next.ticked = next.now
		e.explore(next)
		died := m
		died.dead = true
		e.explore(died)
	}
}

// mayReportGone reports whether the platform may report the first process's
// instance as gone. A lease that stays valid in an outage relies on the platform
// not reporting a running process as gone; a paused process may be reported as
// gone and resume later.
func (e *explorer) mayReportGone(m model) bool {
	return !e.ticks || m.dead || m.now-m.ticked >= int(lifetime/tick)
}

// check detects two processes that may act at the same time, and a process that
// uses capacity on which requests admitted under a former holder's grants may still
// be running.
func (e *explorer) check(m model) {
	a, b := m.holders[0].Remaining(at(m.now)) > 0, m.holders[1].Remaining(at(m.now)) > 0
	if a && b {
		e.violation = fmt.Sprintf("at %d both processes hold the lease: %+v", m.now, m)
	}
	for i := range m.holders {
		free := m.holders[i].FreeAt()
		if !free.IsZero() && !at(m.now).Before(free) && m.ends[1-i] > 0 && m.now < m.ends[1-i]+int(deadline/tick) && m.holders[i].Remaining(at(m.now)) > 0 {
			e.violation = fmt.Sprintf("at %d process %d uses capacity that process %d granted until %d: %+v", m.now, i, 1-i, m.ends[1-i], m)
		}
	}
}

// applyInFlight applies writes in flight at the store.
func (e *explorer) applyInFlight(m model) {
	for i := range m.ops {
		if o := m.ops[i]; o.inFlight && !o.effective && !o.conflict {
			next := m
			next.apply(&next.ops[i])
			e.explore(next)
		}
	}
	if m.stray.inFlight {
		next := m
		next.apply(&next.stray)
		next.stray = op{}
		e.explore(next)
	}
}

func (m *model) apply(o *op) {
	if m.version != o.write.Version {
		o.conflict = true
		return
	}
	m.version.Revision++
	m.record = o.write.Record
	o.effective, o.version = true, m.version
}

// step explores each possible next action of one process.
func (e *explorer) step(m model, i int) {
	o := m.ops[i]
	switch {
	case o.inFlight:
		if o.effective || o.conflict { // the answer arrives
			next := m
			next.ops[i] = op{}
			if o.effective {
				next.holders[i].ApplyWrite(at(o.began), at(m.now), o.write, o.version)
			} else {
				next.holders[i].WriteFailed(true)
			}
			e.explore(next)
		}
		next := m // the answer is lost; the write may still take effect
		next.ops[i] = op{}
		if !o.effective && !o.conflict {
			next.stray = o
		}
		next.holders[i].WriteFailed(false)
		e.explore(next)
	default:
		e.begin(m, i)
	}
	if i == 0 && (!e.ticks || m.ticked == m.now && !m.dead) {
		e.act(m, i)
	}
}

// begin reads the record, or begins the next write, with the lease wanted or not.
func (e *explorer) begin(m model, i int) {
	if h := m.holders[i]; !h.Known() || h.Record() != m.record || h.Timed {
		next := m
		next.holders[i].ApplyRead(at(m.now), m.record, m.version)
		e.explore(next)
	}
	if m.begun[i] == maxOps+i {
		return
	}
	for _, want := range []bool{true, false}[:2-i] { // the first process alone releases
		next := m
		w, ok := next.holders[i].Next(at(m.now), want, func(n id.Instance) bool { return m.gone && n == "a" })
		if !ok {
			continue
		}
		next.begun[i]++
		next.ops[i] = op{write: w, began: m.now, inFlight: true}
		e.explore(next)
	}
}

// act checks the remaining time, and after any pause gives a grant that ends when
// the check allowed.
func (e *explorer) act(m model, i int) {
	if m.checked[i] != 0 {
		next := m
		end := m.checked[i]
		if e.unchecked {
			end = m.now + int(lifetime/tick)
		}
		next.ends[i], next.checked[i] = max(m.ends[i], end), 0
		e.explore(next)
		return
	}
	if left := m.holders[i].Remaining(at(m.now)); left > 0 {
		next := m
		next.checked[i] = m.now + int(left/tick)
		e.explore(next)
	}
}

// TestEveryInterleavingHasOneHolder explores all interleavings of two processes,
// pauses, delayed and lost writes, and reports of the platform, for a few ticks. It
// guards against two holders at the same time and against a new holder that uses
// capacity before requests admitted under old grants have ended. The broken cases
// leave out a check that the guarantee depends on; the exploration must find a
// violation in them.
func TestEveryInterleavingHasOneHolder(t *testing.T) {
	tests := map[string]struct {
		explorer explorer
		broken   bool
	}{
		"lease":                            {explorer{}, false},
		"timed lease":                      {explorer{timed: true}, false},
		"act without a check":              {explorer{unchecked: true}, true},
		"store outage":                     {explorer{ticks: true}, false},
		"store outage, pause not detected": {explorer{ticks: true, undetected: true}, true},
		"timed, act without a check":       {explorer{timed: true, unchecked: true}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := test.explorer
			e.seen, e.seed = map[uint64]struct{}{}, maphash.MakeSeed()
			e.explore(start(e.timed, e.ticks))
			t.Logf("%d states", len(e.seen))
			if found := e.violation != ""; found != test.broken {
				t.Errorf("violation found: %v, want %v: %s", found, test.broken, e.violation)
			}
		})
	}
}
