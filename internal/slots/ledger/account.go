package ledger

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// account is the books of one server.
	account struct {
		slots   int
		ceiling int
		// unknown counts slots granted under earlier terms and not claimed.
		unknown int
		// lost counts slots of replaced processes, until the term is raised.
		lost   int
		grants map[id.Instance]*grant
	}

	// grant is what one holder has of a server.
	grant struct {
		accepted int
		given    uint64
		returned uint64
		used     int
	}

	// holder is what the home knows of one holder across servers.
	holder struct {
		sender   peer.Sender
		seq      uint64
		heard    time.Duration
		want     int
		waiting  int
		recalled int
		leaving  bool
		owed     int
		// bothered is when the holder was last asked to give slots back.
		bothered time.Duration
	}
)

// held returns how many slots the holder may use.
func (g *grant) held() int { return g.accepted + int(g.given-g.returned) }

func (g *grant) idle() int { return max(0, g.held()-g.used) }

// granted returns how many slots holders may use.
func (a *account) granted() int {
	sum := a.lost
	for _, g := range a.grants {
		sum += g.held()
	}
	return sum
}

// free returns how many slots the home may grant. It is negative after the
// server's slots were lowered, until enough has come back.
func (a *account) free() int { return a.slots - a.unknown - a.granted() }

// claim books what a holder kept from earlier terms.
func (a *account) claim(instance id.Instance, claimed int) *grant {
	accepted := min(claimed, a.unknown+max(0, a.free()))
	a.unknown = max(0, a.unknown-accepted)
	g := &grant{accepted: accepted}
	a.grants[instance] = g
	return g
}

// room tells whether the home may give the holder, which has reported on the
// server, another slot.
func (a *account) room(instance id.Instance) bool {
	if a.free() <= 0 {
		return false
	}
	g := a.grants[instance]
	return g != nil && g.held() < a.ceiling
}
