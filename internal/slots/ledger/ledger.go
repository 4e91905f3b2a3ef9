package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// firstTerm is the term of a bucket's first home, which has no predecessor.
const firstTerm id.Term = 1

type (
	// Slots is the capacity of one server that a Ledger divides.
	Slots struct {
		// Server is the server's name.
		Server id.Server
		// Slots is the number to divide; 0 for a server that is leaving.
		Slots int
		// Ceiling is the maximum number of slots of one holder, so that the
		// connections of all holders stay within the server's limit.
		Ceiling int
	}

	// Push is a Grant that the home sends without a preceding Report.
	Push struct {
		// To is the holder.
		To peer.Sender
		// Grant is the message.
		Grant wire.Grant
	}

	// Ledger does the slot accounting of one bucket at its home. Its exported
	// fields are set before its first use. It is not safe for concurrent use.
	Ledger struct {
		// Bucket identifies the servers.
		Bucket wire.Bucket
		// Lifetime is how long a grant is valid after the holder sent the
		// report that renewed it, or after it began the store read that
		// confirmed it.
		Lifetime time.Duration
		// MaxRequestTime is the maximum time that a request may still run after
		// the moment at which it took its slot.
		MaxRequestTime time.Duration
		// ReportTimeout is the time without a report after which a holder
		// counts as unresponsive and its slots should be reclaimed.
		ReportTimeout time.Duration
		// Scatter distributes free slots among the holders instead of keeping
		// them at the home, so that few slots are unknown after the home
		// fails. It may be set at any time.
		Scatter bool

		term         id.Term
		authority    time.Duration
		unknownUntil time.Duration
		accounts     map[id.Server]*account
		names        []id.Server
		holders      map[id.Instance]*holder
		instances    []id.Instance
		pushes       []Push
		now          time.Duration
	}
)

// Errors returned by [Ledger.Report]; compare with errors.Is.
var (
	// ErrNotHome means that this entry may not grant slots of the bucket.
	ErrNotHome = eris.New("not home of the bucket")
	// ErrReplaced means that a later process of the sender's instance has
	// reported.
	ErrReplaced = eris.New("sender has been replaced")
	// ErrInconsistent means that the report's totals exceed those of the ledger.
	ErrInconsistent = eris.New("report contradicts the ledger")
)

// Configure sets the slots to divide. A server that is not in the list keeps
// its account, with no slots, so that its granted slots can still be returned.
func (l *Ledger) Configure(slots []Slots, now time.Duration) {
	if l.accounts == nil {
		l.accounts = map[id.Server]*account{}
	}
	named := map[id.Server]Slots{}
	for _, s := range slots {
		named[s.Server] = s
		if l.accounts[s.Server] == nil {
			l.accounts[s.Server] = &account{grants: map[id.Instance]*grant{}}
		}
	}
	for name, a := range l.accounts {
		s := named[name]
		if more := s.Slots - a.slots; more > 0 && now < l.unknownUntil {
			a.unknown += more
		}
		a.slots, a.ceiling = s.Slots, s.Ceiling
	}
	l.names = slices.Sorted(maps.Keys(l.accounts))
	if l.mayGrant(now) {
		l.now = now
		l.rebalance("")
	}
}

// Begin starts a term of this entry, after the store confirmed it. The counts of
// the preceding term are used only if this Ledger was the home in that term.
func (l *Ledger) Begin(term id.Term, now time.Duration) {
	follows := l.term != 0 && term == l.term+1
	l.term = term
	l.unknownUntil = now
	if term != firstTerm {
		l.unknownUntil = now + l.Lifetime + l.MaxRequestTime
	}
	for _, a := range l.accounts {
		switch {
		case follows:
			a.unknown += a.granted()
		case term == firstTerm:
			a.unknown = 0
		default:
			a.unknown = a.slots
		}
		a.orphaned = 0
		clear(a.grants)
	}
	l.announce()
	l.holders, l.instances = nil, nil
}

// announce queues a push of the new term to the holders of the preceding one.
func (l *Ledger) announce() {
	l.pushes = nil
	for _, instance := range l.instances {
		l.pushes = append(l.pushes, Push{
			To:    l.holders[instance].sender,
			Grant: wire.Grant{Bucket: l.Bucket, Term: l.term},
		})
	}
}

func (l *Ledger) mayGrant(now time.Duration) bool { return l.term != 0 && now < l.authority }

// Term returns the current term, 0 before the first Begin.
func (l *Ledger) Term() id.Term { return l.term }

// SetAuthority sets the time at which the lease of this entry as home expires
// unless it is renewed.
func (l *Ledger) SetAuthority(until time.Duration) { l.authority = until }

// Report applies a holder's report and returns the grant that answers it.
func (l *Ledger) Report(from peer.Sender, r *wire.Report, now time.Duration) (wire.Grant, error) {
	if !l.mayGrant(now) || r.Term > l.term || r.Bucket != l.Bucket {
		return wire.Grant{}, ErrNotHome
	}
	if r.Term < l.term {
		return wire.Grant{Bucket: l.Bucket, Term: l.term}, nil
	}
	l.now = now
	l.expire(now)
	h, err := l.holder(from)
	if err != nil {
		return wire.Grant{}, err
	}
	if err := l.apply(h, r); err != nil {
		return wire.Grant{}, err
	}
	h.lastReport = now
	l.rebalance(from.Instance)
	return l.grantFor(h, r.Seq), nil
}

// Free returns how many slots the home can still grant.
func (l *Ledger) Free() int {
	sum := 0
	for _, a := range l.accounts {
		sum += max(0, a.free())
	}
	return sum
}

// Reserved returns how many slots are unavailable to all live holders: those
// granted in earlier terms and not claimed, and those of replaced or
// unresponsive holders.
func (l *Ledger) Reserved(now time.Duration) int {
	l.expire(now)
	sum := 0
	for _, a := range l.accounts {
		sum += a.unknown + a.orphaned
		for instance, g := range a.grants {
			if now-l.holders[instance].lastReport >= l.ReportTimeout {
				sum += g.held()
			}
		}
	}
	return sum
}

// Tick frees the unknown slots whose grants have expired. It returns true if
// slots of an unresponsive or replaced holder could be reclaimed by raising the
// term.
func (l *Ledger) Tick(now time.Duration) bool {
	if !l.mayGrant(now) {
		return false
	}
	l.now = now
	if l.expire(now) {
		l.rebalance("")
	}
	for _, a := range l.accounts {
		if a.orphaned > 0 {
			return true
		}
		for instance, g := range a.grants {
			if g.held() > 0 && now-l.holders[instance].lastReport >= l.ReportTimeout {
				return true
			}
		}
	}
	return false
}

// Pushes returns the grants to send that were queued since the last call.
func (l *Ledger) Pushes() []Push {
	out := l.pushes
	l.pushes = nil
	return out
}

// expire frees the unknown slots once no holder can use them any longer. It
// returns true if there were any.
func (l *Ledger) expire(now time.Duration) bool {
	if now < l.unknownUntil {
		return false
	}
	some := false
	for _, a := range l.accounts {
		some = some || a.unknown > 0
		a.unknown = 0
	}
	return some
}

func (l *Ledger) holder(from peer.Sender) (*holder, error) {
	h := l.holders[from.Instance]
	if h != nil && h.sender.Incarnation == from.Incarnation {
		return h, nil
	}
	if h != nil && h.sender.Incarnation > from.Incarnation {
		return nil, ErrReplaced
	}
	for _, a := range l.accounts {
		if g := a.grants[from.Instance]; g != nil {
			a.orphaned += g.held()
			delete(a.grants, from.Instance)
		}
	}
	if l.holders == nil {
		l.holders = map[id.Instance]*holder{}
	}
	h = &holder{sender: from, lastRecall: l.now - recallGap}
	l.holders[from.Instance] = h
	l.instances = slices.Sorted(maps.Keys(l.holders))
	return h, nil
}

// apply updates the counts from a report of the current term.
func (l *Ledger) apply(h *holder, r *wire.Report) error {
	for i := range r.Servers {
		s := &r.Servers[i]
		a := l.accounts[s.Server]
		if a == nil {
			continue
		}
		g := a.grants[h.sender.Instance]
		if g == nil {
			g = a.acceptClaim(h.sender.Instance, s.Claimed)
		}
		if s.Returned > uint64(g.accepted)+g.given || s.Seen > g.given {
			return eris.Wrapf(ErrInconsistent, "server %q of %q", s.Server, h.sender.Instance)
		}
		g.returned = max(g.returned, s.Returned)
	}
	if r.Seq > h.seq {
		l.applyLatest(h, r)
	}
	return nil
}

// applyLatest updates the state that only a holder's newest report may change:
// its use, demand and leaving flag.
func (l *Ledger) applyLatest(h *holder, r *wire.Report) {
	h.seq = r.Seq
	h.leaving = r.Leaving
	h.recalled = 0
	inFlight := 0
	for i := range r.Servers {
		s := &r.Servers[i]
		if a := l.accounts[s.Server]; a != nil {
			g := a.grants[h.sender.Instance]
			g.used = s.Used
			inFlight += int(g.given - s.Seen)
		}
	}
	h.want = max(0, r.Want-inFlight)
	h.waiting = min(h.want, max(0, r.Waiting-inFlight))
}

func (l *Ledger) grantFor(h *holder, seq uint64) wire.Grant {
	out := wire.Grant{
		Bucket: l.Bucket, Term: l.term, Seq: seq, Recall: h.recalled, Owed: h.owed, Keep: l.Scatter && !h.leaving,
		Servers: make([]wire.Given, 0, len(l.names)),
	}
	for _, name := range l.names {
		a := l.accounts[name]
		out.Spare += max(0, a.free())
		for instance, g := range a.grants {
			if instance != h.sender.Instance {
				out.Spare += g.idle()
			}
		}
		if g := a.grants[h.sender.Instance]; g != nil {
			out.Servers = append(out.Servers, wire.Given{Server: name, Accepted: g.accepted, Given: g.given})
		}
	}
	return out
}
