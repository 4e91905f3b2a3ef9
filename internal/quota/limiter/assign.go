package limiter

import (
	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/internal/quota/bucket"
	"github.com/shallotpier/shallotpier/internal/quota/holder"
	"github.com/shallotpier/shallotpier/internal/quota/rank"
)

// assign gives organisations their accountable entries: those that have none yet, and those
// that affected selects. The caller holds the lock.
func (l *Limiter) assign(t *table, affected func(o *organisation) bool) {
	if t == nil || len(l.entries) == 0 {
		return
	}
	now := l.Clock()
	for _, o := range t.byName {
		o.mu.Lock()
		if o.ranked && !affected(o) {
			o.mu.Unlock()
			continue
		}
		l.assignTo(now, o)
		settled := o.holder.Expire(now)
		o.mu.Unlock()
		finish(settled)
	}
}

// assignTo gives an organisation its accountable entries. An account that this entry hasn't
// had starts empty, as does one that it has had before another entry was accountable. The
// caller holds both locks.
func (l *Limiter) assignTo(now boottime.Instant, o *organisation) {
	if !o.ranked {
		o.first, o.ranked = rank.First(o.key, l.seeds), true
	}
	own := len(l.entries) - 1
	o.holder.Asker = l.seeds[own]
	parts := 0
	for _, i := range o.first {
		if i == own {
			parts++
		}
	}
	switch {
	case parts == 0:
		o.account = nil
	case o.account == nil || o.parts != parts:
		o.account = &bucket.Account{}
		o.account.Set(now, o.params, parts)
	}
	o.parts, o.grants = parts, l.granting.Load() && parts > 0
	o.holder.SetParts(l.partsOf(o, own))
}

// partsOf returns the accountable entries of an organisation. Those of equal distance are in
// an order that differs between entries, so that these ask different ones.
func (l *Limiter) partsOf(o *organisation, own int) []holder.Part {
	places := make([]holder.Place, 0, quota.Parts)
	turn := int((o.key ^ l.seeds[own]) % quota.Parts)
	for k := range o.first {
		i := o.first[(k+turn)%quota.Parts]
		p := holder.Place{Entry: l.entries[i]}
		if i != own {
			live := l.liveEntries()[p.Entry]
			p.Alive, p.Distance = live.Address.IsValid(), live.Distance
		} else if o.grants {
			p.Own = o.account
		}
		places = append(places, p)
	}
	return holder.Arrange(places)
}
