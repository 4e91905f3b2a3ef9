package ledger

import (
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// minGap is how many more idle slots a holder must have than another before
// one is moved only to keep in reserve.
const minGap = 2

// recallGap is the least time between two requests to one holder to give slots
// back.
const recallGap = 20 * time.Millisecond

// settle grants free slots to holders that want some, recalls idle ones for
// the rest, and notes the grants to push. The reporting holder gets its grant
// as an answer instead.
func (l *Ledger) settle(reporting id.Instance) {
	changed := map[id.Instance]bool{}
	for l.give(changed) {
		continue
	}
	l.recall(changed)
	for l.Scatter && l.scatter(changed) {
		continue
	}
	for _, instance := range l.instances {
		if changed[instance] && instance != reporting {
			h := l.holders[instance]
			l.pushes = append(l.pushes, Push{To: h.sender, Grant: l.grant(h, 0)})
		}
	}
}

// give grants one free slot to the holder that needs it most.
func (l *Ledger) give(changed map[id.Instance]bool) bool {
	var (
		best *holder
		from *account
	)
	for _, instance := range l.instances {
		h := l.holders[instance]
		if h.want == 0 || best != nil && !h.needier(best) {
			continue
		}
		if a := l.roomiest(instance); a != nil {
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

// scatter gives one free slot to the holder with least idle ones.
func (l *Ledger) scatter(changed map[id.Instance]bool) bool {
	var (
		best  id.Instance
		least int
		from  *account
	)
	for _, instance := range l.instances {
		a := l.roomiest(instance)
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

// roomiest returns the server with most free slots for the holder.
func (l *Ledger) roomiest(instance id.Instance) *account {
	var best *account
	for _, name := range l.names {
		a := l.accounts[name]
		if a.room(instance) && (best == nil || a.free() > best.free()) {
			best = a
		}
	}
	return best
}

// recall asks the holders with most idle slots for what is still wanted, and
// for what servers whose slots were lowered lack.
func (l *Ledger) recall(changed map[id.Instance]bool) {
	asked := map[id.Instance]int{}
	for range l.lacking() {
		if h := l.richest(asked, ""); h != nil {
			asked[h.sender.Instance]++
		}
	}
	for _, instance := range l.instances {
		h := l.holders[instance]
		idle := l.idle(instance)
		for n := range h.want {
			rich := l.richest(asked, instance)
			if rich == nil {
				break
			}
			left := l.idle(rich.sender.Instance) - asked[rich.sender.Instance]
			if n >= h.waiting && left < idle+n+minGap {
				break
			}
			asked[rich.sender.Instance]++
		}
	}
	for instance, n := range asked {
		l.holders[instance].recalled = n
		l.holders[instance].bothered = l.now
		changed[instance] = true
	}
	l.owe(changed)
}

// owe lets holders without waiting requests owe the slots that requests wait
// for elsewhere and that nobody is known to have idle.
func (l *Ledger) owe(changed map[id.Instance]bool) {
	lack := 0
	for _, h := range l.holders {
		lack += h.waiting - h.recalled
	}
	for _, instance := range l.instances {
		h := l.holders[instance]
		owed := 0
		if lack > 0 && h.waiting == 0 && l.held(instance) > 0 {
			owed = 1
		}
		if owed > h.owed && l.now-h.bothered >= recallGap {
			h.bothered = l.now
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

// lacking returns how many slots are granted beyond what servers have.
func (l *Ledger) lacking() int {
	sum := 0
	for _, a := range l.accounts {
		sum += max(0, -a.free())
	}
	return sum
}

// richest returns the holder with most idle slots that has no recall under
// way from before and isn't the one named; nil if none has any.
func (l *Ledger) richest(asked map[id.Instance]int, besides id.Instance) *holder {
	var (
		best *holder
		most int
	)
	for _, instance := range l.instances {
		h := l.holders[instance]
		if instance == besides || h.recalled > 0 || h.waiting > 0 || l.now-h.bothered < recallGap {
			continue
		}
		if idle := l.idle(instance) - asked[instance]; idle > most {
			best, most = h, idle
		}
	}
	return best
}

// idle returns how many slots of the bucket a holder leaves unused.
func (l *Ledger) idle(instance id.Instance) int {
	sum := 0
	for _, a := range l.accounts {
		if g := a.grants[instance]; g != nil {
			sum += g.idle()
		}
	}
	return sum
}

func (h *holder) needier(other *holder) bool {
	if h.waiting != other.waiting {
		return h.waiting > other.waiting
	}
	return h.want > other.want
}
