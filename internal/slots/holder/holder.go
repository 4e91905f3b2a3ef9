package holder

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// maxSent bounds the reports whose answers are still expected.
const maxSent = 64

type (
	// Holder is the books of one bucket in one entry. Its exported fields are
	// set before its first use. Its gates may be used by many goroutines; its
	// methods may not.
	Holder struct {
		// Bucket names the servers.
		Bucket wire.Bucket
		// Lifetime is how long grants live; it is the home's.
		Lifetime time.Duration
		// Gate returns the gate of a server of the bucket, always the same.
		Gate func(id.Server) *gate.Gate

		term id.Term
		seq  uint64
		sent map[uint64]time.Duration
		end  time.Duration
		// accepted is set once the home has answered a report of this term.
		accepted bool
		spare    int
		servers  map[id.Server]*share
		names    []id.Server
	}

	// share is what the entry has of one server in the current term.
	share struct {
		gate     *gate.Gate
		claimed  int
		settled  bool
		given    uint64
		returned uint64
	}
)

// Term returns the term that the Holder goes by, 0 if none.
func (h *Holder) Term() id.Term { return h.term }

// End returns the time from which no slot can be taken.
func (h *Holder) End() time.Duration { return h.end }

// Spare returns how many slots of the bucket nobody else used, as the home
// last said.
func (h *Holder) Spare() int { return h.spare }

// Counts returns the number of slots that the Holder has and those in use.
func (h *Holder) Counts() (limit, used int) {
	for _, s := range h.servers {
		l, u := s.gate.Load()
		limit += l
		used += u
	}
	return limit, used
}

// Configure adds servers. A server once added stays: its gate is closed when
// it leaves.
func (h *Holder) Configure(servers []id.Server) {
	if h.servers == nil {
		h.servers = map[id.Server]*share{}
	}
	for _, name := range servers {
		if h.servers[name] == nil {
			g := h.Gate(name)
			g.SetEnd(h.end)
			h.servers[name] = &share{gate: g, settled: true}
		}
	}
	h.names = slices.Sorted(maps.Keys(h.servers))
}

// Adopt goes over to a later term. An earlier one or the same does nothing.
func (h *Holder) Adopt(term id.Term, now time.Duration) {
	if term <= h.term {
		return
	}
	h.term = term
	h.sent = nil
	h.accepted = false
	for _, s := range h.servers {
		limit, _ := s.gate.Load()
		if now >= h.end {
			limit -= s.gate.Lower(limit)
		}
		*s = share{gate: s.gate, claimed: limit, settled: limit == 0}
	}
}

// Report returns the next report to the home. It wants the given number of
// further slots, some of them for waiting requests.
func (h *Holder) Report(now time.Duration, want, waiting int) wire.Report {
	h.seq++
	if h.sent == nil {
		h.sent = map[uint64]time.Duration{}
	}
	h.sent[h.seq] = now
	delete(h.sent, h.seq-maxSent)
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

// Grant books a home's grant and returns the servers whose limit has risen, or
// all if the end has moved.
func (h *Holder) Grant(g *wire.Grant, now time.Duration) []id.Server {
	if g.Bucket != h.Bucket {
		return nil
	}
	if g.Term > h.term {
		h.Adopt(g.Term, now)
	}
	if g.Term != h.term {
		return nil
	}
	var raised []id.Server
	for i := range g.Servers {
		if h.book(&g.Servers[i]) {
			raised = append(raised, g.Servers[i].Server)
		}
	}
	h.spare = g.Spare
	begun, ok := h.sent[g.Seq]
	if !ok || len(g.Servers) == 0 {
		return raised
	}
	delete(h.sent, g.Seq)
	h.accepted = true
	h.refuse(g)
	if now >= h.end {
		raised = h.names
	}
	h.extend(begun + h.Lifetime)
	return raised
}

// Confirm books that a read of the store, begun at the given time, showed the
// term as the home's. It does nothing before the home has answered a report of
// that term, as the home may not know of the claim.
func (h *Holder) Confirm(term id.Term, begun time.Duration) {
	if term == h.term && h.accepted {
		h.extend(begun + h.Lifetime)
	}
}

// Return takes up to n idle slots out, of the servers with most idle ones, and
// returns how many. The next report tells the home.
func (h *Holder) Return(n int) int {
	done := 0
	for ; done < n; done++ {
		s := h.idlest()
		if s == nil || s.gate.Lower(1) == 0 {
			break
		}
		s.returned++
	}
	return done
}

func (h *Holder) idlest() *share {
	var (
		best *share
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

// book applies what the home has granted of one server. It returns true if the
// limit has risen.
func (h *Holder) book(g *wire.Given) bool {
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

// refuse drops the claims that an answer doesn't mention: the home doesn't know
// the server and hasn't reserved its slots.
func (h *Holder) refuse(g *wire.Grant) {
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
