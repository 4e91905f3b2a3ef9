package ledger

import (
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// minGap is how many more idle slots a holder must have than another before one
// is moved to the other as a reserve, without a request waiting for it.
const minGap = 2

// recallGap is the minimum time between two recalls of slots from one holder.
const recallGap = 20 * time.Millisecond

// rebalance grants free slots to holders that want some, recalls idle slots for
// the remaining demand, and queues the grants to push. The reporting holder gets
// its grant in the answer instead.
func (l *Ledger) rebalance(reporting id.Instance) {
	changed := map[id.Instance]bool{}
	for l.grantOne(changed) {
		continue
	}
	l.recall(changed)
	for l.Scatter && l.scatterOne(changed) {
		continue
	}
	for _, instance := range l.instances {
		if changed[instance] && instance != reporting {
			h := l.holders[instance]
			l.pushes = append(l.pushes, Push{To: h.sender, Grant: l.grantFor(h, 0)})
		}
	}
}

// grantOne grants one free slot to the holder with the highest demand. It
// returns false if there is none to grant.
func (l *Ledger) grantOne(changed map[id.Instance]bool) bool {
	var (
		best *holder
		from *account
	)
	for _, instance := range l.instances {
		h := l.holders[instance]
		if h.want == 0 || best != nil && !h.needsMore(best) {
			continue
		}
		if a := l.mostFree(instance); a != nil {
			best, from = h, a
		}
	}
	if best == nil {
		return false
	}
	instance := best.sender.Instance
	from.grants[instance].given++
	best.want--
	best.waiting = max(0, best.waiting-1)
	changed[instance] = true
	return true
}

// scatterOne grants one free slot to the holder with the fewest idle ones. It
// returns false if there is none to grant.
func (l *Ledger) scatterOne(changed map[id.Instance]bool) bool {
	var (
		best  id.Instance
		least int
		from  *account
	)
	for _, instance := range l.instances {
		a := l.mostFree(instance)
		if a == nil || l.holders[instance].leaving {
			continue
		}
		if idle := l.idle(instance); from == nil || idle < least {
			best, least, from = instance, idle, a
		}
	}
	if from == nil {
		return false
	}
	from.grants[best].given++
	changed[best] = true
	return true
}

// mostFree returns the server with the most free slots that may be granted to
// the holder, nil if there is none.
func (l *Ledger) mostFree(instance id.Instance) *account {
	var best *account
	for _, name := range l.names {
		a := l.accounts[name]
		if a.hasRoom(instance) && (best == nil || a.free() > best.free()) {
			best = a
		}
	}
	return best
}

// recall recalls slots from the holders with the most idle ones, to cover the
// demand that remains and the servers whose slots were lowered.
func (l *Ledger) recall(changed map[id.Instance]bool) {
	recalls := map[id.Instance]int{}
	for range l.overcommitted() {
		if h := l.mostIdle(recalls, ""); h != nil {
			recalls[h.sender.Instance]++
		}
	}
	for _, instance := range l.instances {
		h := l.holders[instance]
		idle := l.idle(instance)
		for n := range h.want {
			donor := l.mostIdle(recalls, instance)
			if donor == nil {
				break
			}
			left := l.idle(donor.sender.Instance) - recalls[donor.sender.Instance]
			if n >= h.waiting && left < idle+n+minGap {
				break
			}
			recalls[donor.sender.Instance]++
		}
	}
	for instance, n := range recalls {
		l.holders[instance].recalled = n
		l.holders[instance].lastRecall = l.now
		changed[instance] = true
	}
	l.updateOwed(changed)
}

// updateOwed sets which holders owe a slot. While more requests wait than slots
// are recalled, because no holder is known to have further idle slots, each holder
// without waiting requests owes its next idle slot.
func (l *Ledger) updateOwed(changed map[id.Instance]bool) {
	unmet := 0
	for _, h := range l.holders {
		unmet += h.waiting - h.recalled
	}
	for _, instance := range l.instances {
		h := l.holders[instance]
		owed := 0
		if unmet > 0 && h.waiting == 0 && l.held(instance) > 0 {
			owed = 1
		}
		if owed > h.owed && l.now-h.lastRecall >= recallGap {
			h.lastRecall = l.now
			changed[instance] = true
		}
		h.owed = owed
	}
}

func (l *Ledger) held(instance id.Instance) int {
	sum := 0
	for _, a := range l.accounts {
		if g := a.grants[instance]; g != nil {
			sum += g.held()
		}
	}
	return sum
}

// overcommitted returns how many slots are granted in excess of the servers'
// slots.
func (l *Ledger) overcommitted() int {
	sum := 0
	for _, a := range l.accounts {
		sum += max(0, -a.free())
	}
	return sum
}

// mostIdle returns the holder with the most idle slots, nil if none has any. It
// skips the excluded holder and those with waiting requests, a pending recall or
// a recall within recallGap.
func (l *Ledger) mostIdle(recalls map[id.Instance]int, excluded id.Instance) *holder {
	var (
		best *holder
		most int
	)
	for _, instance := range l.instances {
		h := l.holders[instance]
		if instance == excluded || h.recalled > 0 || h.waiting > 0 || l.now-h.lastRecall < recallGap {
			continue
		}
		if idle := l.idle(instance) - recalls[instance]; idle > most {
			best, most = h, idle
		}
	}
	return best
}

// idle returns how many granted slots of the bucket a holder does not use.
func (l *Ledger) idle(instance id.Instance) int {
	sum := 0
	for _, a := range l.accounts {
		if g := a.grants[instance]; g != nil {
			sum += g.idle()
		}
	}
	return sum
}

func (h *holder) needsMore(other *holder) bool {
	if h.waiting != other.waiting {
		return h.waiting > other.waiting
	}
	return h.want > other.want
}
