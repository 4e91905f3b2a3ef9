package ledger

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// account holds the slot counts of one server.
	account struct {
		slots   int
		ceiling int
		// unknown counts slots granted in earlier terms and not claimed since.
		unknown int
		// orphaned counts slots held by replaced processes; it is cleared when
		// the term is raised.
		orphaned int
		grants   map[id.Instance]*grant
	}

	// grant holds the slot counts of one holder on one server.
	grant struct {
		accepted int
		given    uint64
		returned uint64
		used     int
	}

	// holder is the home's state of one holder, over all servers.
	holder struct {
		sender     peer.Sender
		seq        uint64
		lastReport time.Duration
		want       int
		waiting    int
		recalled   int
		leaving    bool
		owed       int
		// lastRecall is when the holder was last asked to return slots.
		lastRecall time.Duration
	}
)

// held returns how many slots the holder may use.
func (g *grant) held() int { return g.accepted + int(g.given-g.returned) }

func (g *grant) idle() int { return max(0, g.held()-g.used) }

// granted returns how many slots all holders may use, including replaced ones.
func (a *account) granted() int {
	sum := a.orphaned
	for _, g := range a.grants {
		sum += g.held()
	}
	return sum
}

// free returns how many slots the home may grant. It is negative after the
// server's slots were lowered, until enough slots have been returned.
func (a *account) free() int { return a.slots - a.unknown - a.granted() }

// acceptClaim accepts as many of the slots that a holder kept from earlier
// terms as are unknown or free.
func (a *account) acceptClaim(instance id.Instance, claimed int) *grant {
	accepted := min(claimed, a.unknown+max(0, a.free()))
	a.unknown = max(0, a.unknown-accepted)
	g := &grant{accepted: accepted}
	a.grants[instance] = g
	return g
}

// hasRoom reports whether the home may grant the holder another slot. It is
// false for a holder that has not reported on the server.
func (a *account) hasRoom(instance id.Instance) bool {
	if a.free() <= 0 {
		return false
	}
	g := a.grants[instance]
	return g != nil && g.held() < a.ceiling
}
