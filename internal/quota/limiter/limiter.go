package limiter

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/internal/quota/bucket"
	"github.com/shallotpier/shallotpier/internal/quota/holder"
	"github.com/shallotpier/shallotpier/internal/quota/rank"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// Entry is another entry that is alive.
	Entry struct {
		// Peers identifies it.
		Peers netip.AddrPort
		// Address is where it receives questions.
		Address netip.AddrPort
		// Distance orders entries by nearness: 0 is the nearest.
		Distance int
	}

	// Limiter enforces the limits of organisations. Its exported fields must not change
	// after the first call. It is safe for concurrent use.
	Limiter struct {
		// Clock is the clock of terms.
		Clock boottime.Clock
		// Send sends a question to an entry and returns the answer.
		Send func(ctx context.Context, to netip.AddrPort, question []byte) ([]byte, error)
		// Log receives a line when an organisation reaches its limit.
		Log *slog.Logger
		// Metrics receives counters.
		Metrics *metrics.Set

		table    atomic.Pointer[table]
		granting atomic.Bool
		live     atomic.Pointer[liveEntries]
		outbox   outbox
		metered  int // organisations; used by Step only

		mu            sync.Mutex // guards what follows, and changes of table
		bounds        quota.Bounds
		organisations []quota.Organisation
		self          netip.AddrPort
		entries       []netip.AddrPort // with this one
		seeds         []uint64
		reported      boottime.Instant
	}

	// liveEntries holds the other entries that are alive. It doesn't change.
	liveEntries map[netip.AddrPort]Entry

	// table holds the organisations that have a limit. It doesn't change.
	table struct {
		byName map[id.Organisation]*organisation
		byKey  map[uint64]*organisation
	}

	// organisation is the state of an organisation at this entry.
	organisation struct {
		name id.Organisation
		key  uint64
		// first holds the indexes of the accountable entries, once they are ranked.
		first  [quota.Parts]int
		ranked bool

		mu     sync.Mutex
		limit  quota.Organisation
		params quota.Parameters
		holder holder.Holder
		// account is nil if this entry isn't accountable, which it is for a number of parts.
		account *bucket.Account
		parts   int
		grants  bool // tokens of account
		counts  counts
		// limitedSince is the time of the first refusal over the limit of those that had no
		// longer pause in between, 0 if there is none.
		limitedSince boottime.Instant
		refusedAt    boottime.Instant
		// reportedLimited is set once a log line has said that the limit is reached.
		reportedLimited bool
		metered         bool // has metrics of its own; used by Step only
	}

	// counts count decisions on requests, and tokens granted to other entries.
	counts struct {
		granted, exceeded, unavailable, lent uint64
	}
)

// Take decides on a request of an organisation, and waits for a token if there is none.
func (l *Limiter) Take(ctx context.Context, name id.Organisation) quota.Verdict {
	t := l.table.Load()
	if t == nil {
		return quota.Verdict{}
	}
	o := t.byName[name]
	if o == nil {
		return quota.Verdict{}
	}
	now := l.Clock()
	o.mu.Lock()
	v := o.holder.Take(now)
	if v.Outcome != quota.Pending {
		asks, n := o.asks(now)
		o.count(now, v.Outcome)
		o.mu.Unlock()
		l.outbox.add(l, o, asks[:n])
		v.Grant.Organisation = name
		return v
	}
	return l.wait(ctx, now, o)
}

// Expired reports whether a request may no longer be sent with its grant.
func (l *Limiter) Expired(g quota.Grant) bool {
	return g.Organisation != "" && g.Expires != 0 && l.Clock() >= g.Expires
}

// Return takes back the token of a request that has not run.
func (l *Limiter) Return(g quota.Grant) {
	t := l.table.Load()
	if t == nil || g.Expires == 0 {
		return
	}
	if o := t.byName[g.Organisation]; o != nil {
		o.mu.Lock()
		settled := o.holder.Return(l.Clock(), g.Expires)
		o.mu.Unlock()
		finish(settled)
	}
}

// wait waits for the decision on a request that has found no token. The caller holds the
// organisation's lock, which wait releases.
func (l *Limiter) wait(ctx context.Context, now boottime.Instant, o *organisation) quota.Verdict {
	w := &holder.Waiter{Done: make(chan struct{})}
	o.holder.Wait(now, w)
	asks, n := o.asks(now)
	o.mu.Unlock()
	l.outbox.add(l, o, asks[:n])
	timer := time.NewTimer(holder.MaxWait)
	defer timer.Stop()
	select {
	case <-w.Done:
	case <-timer.C:
	case <-ctx.Done():
	}
	now = l.Clock()
	o.mu.Lock()
	settled := o.holder.Expire(now)
	if o.holder.Cancel(w) {
		w.Verdict = quota.Verdict{Outcome: quota.Unavailable, RetryAfter: holder.MaxWait}
	}
	o.count(now, w.Verdict.Outcome)
	o.mu.Unlock()
	finish(settled)
	w.Verdict.Grant.Organisation = o.name
	return w.Verdict
}

// asks returns the questions to send. The caller holds the lock.
func (o *organisation) asks(now boottime.Instant) (asks [quota.Parts]holder.Ask, n int) {
	for n < len(asks) {
		ask, ok := o.holder.Ask(now)
		if !ok {
			break
		}
		asks[n] = ask
		n++
	}
	return asks, n
}

// finish tells the requests that are decided.
func finish(settled []*holder.Waiter) {
	for _, w := range settled {
		close(w.Done)
	}
}

// SetBounds applies the bounds of all windows.
func (l *Limiter) SetBounds(b quota.Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b != l.bounds {
		l.bounds = b
		l.rebuild()
	}
}

// SetOrganisations applies the limits of a configuration.
func (l *Limiter) SetOrganisations(all []quota.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.organisations = all
	l.rebuild()
}

// SetEntries applies the list of all known entries, alive or not.
func (l *Limiter) SetEntries(self netip.AddrPort, others []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) > 0 && self == l.self && sameEntries(l.entries[:len(l.entries)-1], others) {
		return
	}
	l.self = self
	l.entries = append(append(make([]netip.AddrPort, 0, len(others)+1), others...), self)
	l.seeds = make([]uint64, len(l.entries))
	for i, e := range l.entries {
		l.seeds[i] = rank.Seed(e)
	}
	l.assign(l.table.Load(), func(o *organisation) bool {
		o.ranked = false
		return true
	})
}

// SetLive applies the list of the other entries that are alive.
func (l *Limiter) SetLive(live []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.liveEntries()
	now, same := make(liveEntries, len(live)), len(live) == len(old)
	for _, e := range live {
		now[e.Peers] = e
		same = same && old[e.Peers] == e
	}
	if same {
		return
	}
	l.live.Store(&now)
	changed := make([]bool, len(l.entries))
	for i, e := range l.entries {
		changed[i] = old[e] != now[e]
	}
	l.assign(l.table.Load(), func(o *organisation) bool {
		return changed[o.first[0]] || changed[o.first[1]] || changed[o.first[2]]
	})
}

func (l *Limiter) liveEntries() liveEntries {
	if live := l.live.Load(); live != nil {
		return *live
	}
	return nil
}

// SetGranting starts or ends the granting of tokens of this entry's accounts. When it starts,
// they are empty: other entries may have granted the tokens of the time before.
func (l *Limiter) SetGranting(granting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.granting.Swap(granting) != granting {
		l.assign(l.table.Load(), func(o *organisation) bool {
			if granting {
				o.account = nil
			}
			return o.parts > 0
		})
	}
}

// Granting reports whether this entry grants tokens.
func (l *Limiter) Granting() bool { return l.granting.Load() }

// rebuild makes a table of the organisations with a limit; those that had one keep their
// state. The caller holds the lock.
func (l *Limiter) rebuild() {
	now, old := l.Clock(), l.table.Load()
	t := &table{byName: make(map[id.Organisation]*organisation), byKey: make(map[uint64]*organisation)}
	for i := range l.organisations {
		limit := &l.organisations[i]
		p := l.bounds.Parameters(limit)
		if !p.Limited() {
			continue
		}
		var o *organisation
		if old != nil {
			o = old.byName[limit.Name]
		}
		if o == nil {
			o = &organisation{name: limit.Name, key: rank.Key(limit.Name)}
		}
		o.mu.Lock()
		o.limit, o.params = *limit, p
		o.holder.SetParameters(p)
		if o.account != nil {
			o.account.Set(now, p, o.parts)
		}
		o.mu.Unlock()
		t.byName[o.name], t.byKey[o.key] = o, o
	}
	if len(t.byName) == 0 {
		t = nil
	}
	l.assign(t, func(*organisation) bool { return false })
	l.table.Store(t)
}

// sameEntries reports whether two lists hold the same entries.
func sameEntries(a, b []netip.AddrPort) bool {
	if len(a) != len(b) {
		return false
	}
	in := make(map[netip.AddrPort]bool, len(a))
	for _, e := range a {
		in[e] = true
	}
	for _, e := range b {
		if !in[e] {
			return false
		}
	}
	return true
}
