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

// firstTerm is the term of a home that had none before it.
const firstTerm id.Term = 1

type (
	// Slots is what a Ledger divides of one server.
	Slots struct {
		// Server is the server's name.
		Server id.Server
		// Slots is the number to divide; 0 for a server that is leaving.
		Slots int
		// Ceiling bounds what one holder may have, so that the connections of
		// all holders stay within the server's limit.
		Ceiling int
	}

	// Push is a Grant that the home sends on its own.
	Push struct {
		// To is the holder.
		To peer.Sender
		// Grant is the message.
		Grant wire.Grant
	}

	// Ledger is the books of one bucket in one home. Its exported fields are
	// set before its first use. It is not safe for concurrent use.
	Ledger struct {
		// Bucket names the servers.
		Bucket wire.Bucket
		// Lifetime is how long a grant lives after the holder sent the report
		// that renewed it, or after it began the store read that confirmed it.
		Lifetime time.Duration
		// Longest is the longest time that a request may still run after the
		// moment at which it took its slot.
		Longest time.Duration
		// Silence is after how long without a report a holder's slots should
		// be reclaimed.
		Silence time.Duration
		// Scatter keeps free slots with the holders instead of at home, so
		// that little is unknown when the home is lost. It may be set at any
		// time.
		Scatter bool

		term      id.Term
		authority time.Duration
		clear     time.Duration
		accounts  map[id.Server]*account
		names     []id.Server
		holders   map[id.Instance]*holder
		instances []id.Instance
		pushes    []Push
		now       time.Duration
	}
)

// Errors of Ledger.Report; compare with errors.Is.
var (
	// ErrNotHome means that this entry may not grant slots of the bucket.
	ErrNotHome = eris.New("not home of the bucket")
	// ErrReplaced means that the sender's process has been replaced.
	ErrReplaced = eris.New("sender has been replaced")
	// ErrImpossible means that the report contradicts the ledger.
	ErrImpossible = eris.New("report contradicts the ledger")
)

// Configure sets the slots to divide. Servers that are not named keep their
// accounts with no slots until everything is returned.
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
		if more := s.Slots - a.slots; more > 0 && now < l.clear {
			a.unknown += more
		}
		a.slots, a.ceiling = s.Slots, s.Ceiling
	}
	l.names = slices.Sorted(maps.Keys(l.accounts))
	if l.mayGrant(now) {
		l.now = now
		l.settle("")
	}
}

// Begin starts a term that this entry has just got, after the store confirmed
// it. The books of the term before are kept only if they are this Ledger's.
func (l *Ledger) Begin(term id.Term, now time.Duration) {
	follows := l.term != 0 && term == l.term+1
	l.term = term
	l.clear = now
	if term != firstTerm {
		l.clear = now + l.Lifetime + l.Longest
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
		a.lost = 0
		clear(a.grants)
	}
	l.announce()
	l.holders, l.instances = nil, nil
}

// announce tells the holders of the term before of the new one.
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

// Term returns the term in force, 0 before the first Begin.
func (l *Ledger) Term() id.Term { return l.term }

// SetAuthority sets the time from which this entry isn't home any more unless
// its lease has been renewed.
func (l *Ledger) SetAuthority(until time.Duration) { l.authority = until }

// Report takes a holder's report and returns the answer.
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
	if err := l.take(h, r); err != nil {
		return wire.Grant{}, err
	}
	h.heard = now
	l.settle(from.Instance)
	return l.grant(h, r.Seq), nil
}

// Free returns how many slots the home has to grant.
func (l *Ledger) Free() int {
	sum := 0
	for _, a := range l.accounts {
		sum += max(0, a.free())
	}
	return sum
}

// Reserved returns how many slots no living holder can use: those of earlier
// terms that nobody has claimed, and those of replaced or silent holders.
func (l *Ledger) Reserved(now time.Duration) int {
	l.expire(now)
	sum := 0
	for _, a := range l.accounts {
		sum += a.unknown + a.lost
		for instance, g := range a.grants {
			if now-l.holders[instance].heard >= l.Silence {
				sum += g.held()
			}
		}
	}
	return sum
}

// Tick lets time pass. It returns true if slots of a silent holder could be
// reclaimed by raising the term.
func (l *Ledger) Tick(now time.Duration) bool {
	if !l.mayGrant(now) {
		return false
	}
	l.now = now
	if l.expire(now) {
		l.settle("")
	}
	for _, a := range l.accounts {
		if a.lost > 0 {
			return true
		}
		for instance, g := range a.grants {
			if g.held() > 0 && now-l.holders[instance].heard >= l.Silence {
				return true
			}
		}
	}
	return false
}

// Pushes returns the grants to send since the last call.
func (l *Ledger) Pushes() []Push {
	out := l.pushes
	l.pushes = nil
	return out
}

// expire frees what is unknown once nobody can use it any more. It returns true
// if there was some.
func (l *Ledger) expire(now time.Duration) bool {
	if now < l.clear {
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
			a.lost += g.held()
			delete(a.grants, from.Instance)
		}
	}
	if l.holders == nil {
		l.holders = map[id.Instance]*holder{}
	}
	h = &holder{sender: from, bothered: l.now - recallGap}
	l.holders[from.Instance] = h
	l.instances = slices.Sorted(maps.Keys(l.holders))
	return h, nil
}

// take books a report of the current term.
func (l *Ledger) take(h *holder, r *wire.Report) error {
	for i := range r.Servers {
		s := &r.Servers[i]
		a := l.accounts[s.Server]
		if a == nil {
			continue
		}
		g := a.grants[h.sender.Instance]
		if g == nil {
			g = a.claim(h.sender.Instance, s.Claimed)
		}
		if s.Returned > uint64(g.accepted)+g.given || s.Seen > g.given {
			return eris.Wrapf(ErrImpossible, "server %q of %q", s.Server, h.sender.Instance)
		}
		g.returned = max(g.returned, s.Returned)
	}
	if r.Seq > h.seq {
		l.refresh(h, r)
	}
	return nil
}

// refresh takes what only the newest report of a holder tells.
func (l *Ledger) refresh(h *holder, r *wire.Report) {
	h.seq = r.Seq
	h.leaving = r.Leaving
	h.recalled = 0
	underway := 0
	for i := range r.Servers {
		s := &r.Servers[i]
		if a := l.accounts[s.Server]; a != nil {
			g := a.grants[h.sender.Instance]
			g.used = s.Used
			underway += int(g.given - s.Seen)
		}
	}
	h.want = max(0, r.Want-underway)
	h.waiting = min(h.want, max(0, r.Waiting-underway))
}

func (l *Ledger) grant(h *holder, seq uint64) wire.Grant {
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
