package holder

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// maxPending is the maximum number of reports whose answers are awaited; an
// answer to an older one does not extend the end.
const maxPending = 64

type (
	// Holder does the slot accounting of one bucket at one entry. Its exported
	// fields are set before its first use. Its gates are safe for concurrent
	// use; its methods are not.
	Holder struct {
		// Bucket identifies the servers.
		Bucket wire.Bucket
		// Lifetime is how long a grant is valid; it must equal the home's.
		Lifetime time.Duration
		// Gate returns the gate of a server of the bucket, the same one at
		// each call.
		Gate func(id.Server) *gate.Gate

		term    id.Term
		seq     uint64
		pending map[uint64]time.Duration
		end     time.Duration
		// accepted is set once the home has answered a report of this term.
		accepted bool
		spare    int
		servers  map[id.Server]*serverShare
		names    []id.Server
	}

	// serverShare holds the entry's slot counts of one server in the current
	// term.
	serverShare struct {
		gate     *gate.Gate
		claimed  int
		settled  bool
		given    uint64
		returned uint64
	}
)

// Term returns the current term, 0 if none is known.
func (h *Holder) Term() id.Term { return h.term }

// End returns the time from which no slot can be taken.
func (h *Holder) End() time.Duration { return h.end }

// Spare returns how many slots of the bucket no other holder used, by the home's
// last grant.
func (h *Holder) Spare() int { return h.spare }

// Counts returns the number of slots held and the number in use.
func (h *Holder) Counts() (limit, used int) {
	for _, s := range h.servers {
		l, u := s.gate.Load()
		limit += l
		used += u
	}
	return limit, used
}

// Configure adds servers. It never removes one: the gate of a server that
// leaves is closed instead.
func (h *Holder) Configure(servers []id.Server) {
	if h.servers == nil {
		h.servers = map[id.Server]*serverShare{}
	}
	for _, name := range servers {
		if h.servers[name] == nil {
			g := h.Gate(name)
			g.SetEnd(h.end)
			h.servers[name] = &serverShare{gate: g, settled: true}
		}
	}
	h.names = slices.Sorted(maps.Keys(h.servers))
}

// SetTerm switches to a later term; an earlier or equal term is ignored. Slots
// held become the claim; idle slots are dropped if the end has passed.
func (h *Holder) SetTerm(term id.Term, now time.Duration) {
	if term <= h.term {
		return
	}
	h.term = term
	h.pending = nil
	h.accepted = false
	for _, s := range h.servers {
		limit, _ := s.gate.Load()
		if now >= h.end {
			limit -= s.gate.Lower(limit)
		}
		*s = serverShare{gate: s.gate, claimed: limit, settled: limit == 0}
	}
}

// Report returns the next report to the home. It asks for want more slots, of
// which waiting are for requests that already wait.
func (h *Holder) Report(now time.Duration, want, waiting int) wire.Report {
	h.seq++
	if h.pending == nil {
		h.pending = map[uint64]time.Duration{}
	}
	h.pending[h.seq] = now
	delete(h.pending, h.seq-maxPending)
	r := wire.Report{
		Bucket: h.Bucket, Term: h.term, Seq: h.seq, Want: want, Waiting: min(want, waiting),
		Servers: make([]wire.Held, 0, len(h.names)),
	}
	for _, name := range h.names {
		s := h.servers[name]
		_, used := s.gate.Load()
		r.Servers = append(r.Servers, wire.Held{
			Server: name, Claimed: s.claimed, Seen: s.given, Returned: s.returned, Used: used,
		})
	}
	return r
}

// Grant applies a home's grant and returns the servers whose limit has risen, or
// all servers if the end had passed and is extended.
func (h *Holder) Grant(g *wire.Grant, now time.Duration) []id.Server {
	if g.Bucket != h.Bucket {
		return nil
	}
	if g.Term > h.term {
		h.SetTerm(g.Term, now)
	}
	if g.Term != h.term {
		return nil
	}
	var raised []id.Server
	for i := range g.Servers {
		if h.applyGiven(&g.Servers[i]) {
			raised = append(raised, g.Servers[i].Server)
		}
	}
	h.spare = g.Spare
	begun, ok := h.pending[g.Seq]
	if !ok || len(g.Servers) == 0 {
		return raised
	}
	delete(h.pending, g.Seq)
	h.accepted = true
	h.dropUnansweredClaims(g)
	if now >= h.end {
		raised = h.names
	}
	h.extend(begun + h.Lifetime)
	return raised
}

// Confirm extends the end after a read of the store, begun at the given time,
// showed the term as the home's. It does nothing before the home has answered a
// report of that term, since the home may not have received the claim.
func (h *Holder) Confirm(term id.Term, begun time.Duration) {
	if term == h.term && h.accepted {
		h.extend(begun + h.Lifetime)
	}
}

// Return removes up to n idle slots, from the servers with the most idle ones, and
// returns how many. The next report notifies the home.
func (h *Holder) Return(n int) int {
	done := 0
	for ; done < n; done++ {
		s := h.mostIdle()
		if s == nil || s.gate.Lower(1) == 0 {
			break
		}
		s.returned++
	}
	return done
}

func (h *Holder) mostIdle() *serverShare {
	var (
		best *serverShare
		most int
	)
	for _, name := range h.names {
		s := h.servers[name]
		limit, used := s.gate.Load()
		if idle := limit - used; s.settled && idle > most {
			best, most = s, idle
		}
	}
	return best
}

// applyGiven applies the home's grant of slots of one server. It returns true if
// the limit has risen.
func (h *Holder) applyGiven(g *wire.Given) bool {
	s := h.servers[g.Server]
	if s == nil {
		return false
	}
	if !s.settled {
		s.settled = true
		s.gate.Cut(s.claimed - g.Accepted)
	}
	if g.Given <= s.given {
		return false
	}
	s.gate.Raise(int(g.Given - s.given))
	s.given = g.Given
	return true
}

// dropUnansweredClaims drops the claims on servers that an answer does not list:
// the home does not have these servers and has not reserved their slots.
func (h *Holder) dropUnansweredClaims(g *wire.Grant) {
	for name, s := range h.servers {
		named := slices.ContainsFunc(g.Servers, func(v wire.Given) bool { return v.Server == name })
		if !s.settled && !named {
			s.settled = true
			s.gate.Cut(s.claimed)
		}
	}
}

func (h *Holder) extend(end time.Duration) {
	if end <= h.end {
		return
	}
	h.end = end
	for _, s := range h.servers {
		s.gate.SetEnd(end)
	}
}
