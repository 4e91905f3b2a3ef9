package ledger_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/internal/slots/holder"
	"github.com/shallotpier/shallotpier/internal/slots/ledger"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	modelEntries  = 3
	modelLifetime = 20 * time.Millisecond
	modelLease    = 30 * time.Millisecond
	modelServer   = id.Server("a")
	modelSlots    = 2
	modelSteps    = 300
	fixedSeeds    = 5000
	scatterBit    = 8
)

type (
	// model simulates a few entries, a store and a network. An entry reads its
	// clock when it begins a task, and may be paused before it executes it.
	model struct {
		rng            *rand.Rand
		maxRequestTime time.Duration
		maxStep        int
		scatter        bool
		now            time.Duration
		term           id.Term
		home           int
		expires        time.Duration
		entries        [modelEntries]*modelEntry
		net            []modelMessage
		running        []modelRequest
	}

	modelEntry struct {
		index       int
		self        peer.Sender
		offset      time.Duration
		gate        *gate.Gate
		holder      *holder.Holder
		ledger      *ledger.Ledger
		paused      func()
		partitioned bool
	}

	modelMessage struct {
		to      int
		from    peer.Sender
		report  *wire.Report
		grant   *wire.Grant
		term    id.Term
		begun   time.Duration
		process id.Incarnation
	}

	modelRequest struct {
		entry    *modelEntry
		gate     *gate.Gate
		deadline time.Duration
	}
)

func bucket() wire.Bucket { return wire.Bucket{Service: "registry", Zone: "z-1"} }

func newModel(seed uint64) *model {
	m := &model{home: -1, rng: rand.New(rand.NewPCG(seed, 1))}
	m.maxRequestTime = time.Duration(m.between(1, 40)) * time.Millisecond
	m.scatter = seed>>scatterBit&1 == 1
	m.maxStep = m.between(2, 15)
	for i := range m.entries {
		m.entries[i] = &modelEntry{index: i, offset: time.Duration(i) * time.Hour}
		m.start(i)
	}
	return m
}

func (m *model) start(i int) {
	e := m.entries[i]
	e.self = peer.Sender{Instance: id.Instance(rune('a' + i)), Incarnation: e.self.Incarnation + 1}
	e.gate = new(gate.Gate)
	g := e.gate
	e.holder = &holder.Holder{Bucket: bucket(), Lifetime: modelLifetime, Gate: func(id.Server) *gate.Gate { return g }}
	e.holder.Configure([]id.Server{modelServer})
	e.ledger = &ledger.Ledger{Bucket: bucket(), Lifetime: modelLifetime, MaxRequestTime: m.maxRequestTime, ReportTimeout: modelLifetime}
	e.ledger.Scatter = m.scatter
	e.ledger.Configure([]ledger.Slots{{Server: modelServer, Slots: modelSlots, Ceiling: modelSlots}}, m.clock(e))
	e.paused = nil
}

func (m *model) clock(e *modelEntry) time.Duration { return m.now + e.offset }

// do runs a task of an entry now, or pauses the entry between reading its clock
// and running the task.
func (m *model) do(e *modelEntry, task func(now time.Duration)) {
	if e.paused != nil {
		return
	}
	now := m.clock(e)
	if m.between(0, 9) == 0 {
		e.paused = func() { task(now) }
		return
	}
	task(now)
}

func (m *model) entry() *modelEntry {
	return m.entries[m.between(0, modelEntries-1)]
}

func (m *model) send(msg modelMessage) { m.net = append(m.net, msg) }

func (m *model) push(e *modelEntry) {
	for _, p := range e.ledger.Pushes() {
		m.send(modelMessage{to: int(p.To.Instance[0] - 'a'), from: e.self, grant: &p.Grant, process: p.To.Incarnation})
	}
}

func (m *model) report(e *modelEntry, now time.Duration, want int) {
	if e.holder.Term() == 0 || m.home < 0 {
		return
	}
	r := e.holder.Report(now, want, want)
	m.send(modelMessage{to: m.home, from: e.self, report: &r})
}

// deliver delivers a random message, which stays in the network if it is to be
// duplicated.
func (m *model) deliver() {
	if len(m.net) == 0 {
		return
	}
	i := m.between(0, len(m.net)-1)
	msg := m.net[i]
	if m.entries[msg.to].partitioned && msg.term == 0 {
		return
	}
	if m.between(0, 3) != 0 {
		m.net = append(m.net[:i:i], m.net[i+1:]...)
	}
	e := m.entries[msg.to]
	if msg.report == nil && msg.process != e.self.Incarnation {
		return
	}
	m.do(e, func(now time.Duration) { m.handle(e, msg, now) })
}

func (m *model) handle(e *modelEntry, msg modelMessage, now time.Duration) {
	switch {
	case msg.report != nil:
		grant, err := e.ledger.Report(msg.from, msg.report, now)
		m.push(e)
		if err == nil {
			m.send(modelMessage{to: int(msg.from.Instance[0] - 'a'), from: e.self, grant: &grant, process: msg.from.Incarnation})
		}
	case msg.grant != nil:
		e.holder.Grant(msg.grant, now)
		if msg.grant.Recall > 0 {
			e.holder.Return(msg.grant.Recall)
			m.report(e, now, 0)
		}
	default:
		e.holder.Confirm(msg.term, msg.begun)
		e.holder.SetTerm(msg.term, now)
	}
}

// exchange sends an entry's report to the home of the entry's current term. The
// answer may be lost or delayed, and the report may be duplicated.
func (m *model) exchange() {
	e, want := m.entry(), m.between(0, 2)
	if e.paused != nil || e.partitioned || m.home < 0 {
		return
	}
	now := m.clock(e)
	if e.holder.Term() == 0 || m.between(0, 2) == 0 {
		e.holder.SetTerm(m.term, now)
	}
	home := m.knownHome(e)
	if home.paused != nil || home.partitioned {
		return
	}
	r := e.holder.Report(now, want, want)
	if m.between(0, 4) == 0 {
		m.send(modelMessage{to: home.index, from: e.self, report: &r})
	}
	grant, err := home.ledger.Report(e.self, &r, m.clock(home))
	m.push(home)
	if err != nil {
		return
	}
	answer := modelMessage{to: e.index, from: home.self, grant: &grant, process: e.self.Incarnation}
	switch m.between(0, 5) {
	case 0:
	case 1:
		m.send(answer)
	default:
		m.handle(e, answer, now)
	}
}

func (m *model) knownHome(e *modelEntry) *modelEntry {
	for _, other := range m.entries {
		if other.ledger.Term() == e.holder.Term() {
			return other
		}
	}
	return m.entries[m.home]
}

func (m *model) acquire() {
	e := m.entry()
	span := time.Duration(m.between(1, int(m.maxRequestTime/time.Millisecond))) * time.Millisecond
	m.do(e, func(now time.Duration) {
		if !e.gate.Acquire(now) {
			return
		}
		r := modelRequest{entry: e, gate: e.gate, deadline: now + span - e.offset}
		if m.now >= r.deadline {
			e.gate.Release()
			return
		}
		m.running = append(m.running, r)
	})
}

func (m *model) end(i int) {
	r := m.running[i]
	r.gate.Release()
	m.running = append(m.running[:i:i], m.running[i+1:]...)
}

func (m *model) takeOver() {
	e := m.entry()
	if e.paused != nil || m.now < m.expires {
		return
	}
	m.term++
	m.home, m.expires = e.index, m.now+modelLease
	m.begin(e)
}

func (m *model) raiseTerm() {
	if m.home < 0 {
		return
	}
	e := m.entries[m.home]
	if e.paused != nil || e.ledger.Term() != m.term || m.now >= m.expires {
		return
	}
	m.term++
	m.begin(e)
}

func (m *model) begin(e *modelEntry) {
	term, until := m.term, m.expires+e.offset
	m.do(e, func(now time.Duration) {
		e.ledger.Begin(term, now)
		e.ledger.SetAuthority(until)
		m.push(e)
	})
}

func (m *model) renewLease() {
	if m.home < 0 {
		return
	}
	e := m.entries[m.home]
	if e.paused != nil || e.ledger.Term() != m.term || m.now >= m.expires {
		return
	}
	m.expires = m.now + modelLease
	e.ledger.SetAuthority(m.expires + e.offset)
}

func (m *model) readStore() {
	e := m.entry()
	if e.paused != nil || m.term == 0 {
		return
	}
	m.send(modelMessage{to: e.index, term: m.term, begun: m.clock(e), process: e.self.Incarnation})
}

func (m *model) advance() {
	m.now += time.Duration(m.between(1, m.maxStep)) * time.Millisecond
	for i := len(m.running) - 1; i >= 0; i-- {
		if m.now >= m.running[i].deadline {
			m.end(i)
		}
	}
}

// TestSlotsConserved checks that a server never runs more requests than it has
// slots, in histories with lost, duplicated, delayed and reordered messages,
// with paused, killed and restarted processes, and with changes of the home.
func TestSlotsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := newModel(seed).run(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestSlotsConservedFixedSeeds is TestSlotsConserved with fixed seeds. Those
// listed by number failed before.
func TestSlotsConservedFixedSeeds(t *testing.T) {
	seeds := []uint64{
		0x7daf7, // a claim that the home never received was extended by store reads
	}
	for seed := range uint64(fixedSeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		if err := newModel(seed).run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func (m *model) run() error {
	actions := m.actions()
	for range modelSteps {
		actions[m.rng.IntN(len(actions))]()
		if len(m.running) > modelSlots {
			return eris.Errorf("%d requests run on %d slots at %s", len(m.running), modelSlots, m.now)
		}
	}
	return nil
}

func (m *model) between(low, high int) int { return low + m.rng.IntN(high-low+1) }

// actions returns the possible actions, each repeated by its weight.
func (m *model) actions() []func() {
	weights := []struct {
		weight int
		do     func()
	}{
		{12, m.acquire}, {12, m.exchange}, {6, m.deliver}, {4, m.advance}, {2, m.takeOver},
		{1, m.raiseTerm}, {3, m.renewLease}, {2, m.readStore}, {2, m.finish}, {3, m.resume},
		{1, m.restart}, {1, m.returnSlot}, {1, m.tick}, {1, m.togglePartition},
	}
	var out []func()
	for _, w := range weights {
		for range w.weight {
			out = append(out, w.do)
		}
	}
	return out
}

func (m *model) tick() {
	e := m.entry()
	m.do(e, func(now time.Duration) { e.ledger.Tick(now); m.push(e) })
}

func (m *model) returnSlot() {
	e := m.entry()
	m.do(e, func(time.Duration) { e.holder.Return(1) })
}

func (m *model) resume() {
	if e := m.entry(); e.paused != nil {
		task := e.paused
		e.paused = nil
		task()
	}
}

func (m *model) finish() {
	if len(m.running) > 0 {
		m.end(m.between(0, len(m.running)-1))
	}
}

// togglePartition cuts an entry off from the others, but not from the store, or
// reconnects it.
func (m *model) togglePartition() {
	e := m.entry()
	e.partitioned = !e.partitioned
}

func (m *model) restart() {
	if m.between(0, 1) == 0 {
		m.start(m.entry().index)
	}
}
