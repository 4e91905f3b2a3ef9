package membership

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/config"
	"github.com/shallotpier/shallotpier/internal/loads"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const maxObserved = 1024

type (
	// Own is the state that an entry reports of itself.
	Own struct {
		// Config is its active configuration, zero if it has none.
		Config config.Ref `json:"config"`
		// Leaving reports whether it is shutting down.
		Leaving bool `json:"leaving,omitempty"`
		// Starting reports whether it can't take its share of the load yet.
		Starting bool `json:"starting,omitempty"`
		// Uses lists the slots that it has in use.
		Uses loads.Uses `json:"uses,omitempty"`
	}

	// Beat is a heartbeat, and the answer to one.
	Beat struct {
		// Instance is the sender.
		Instance id.Instance `json:"instance"`
		// Incarnation is that of the sender's process.
		Incarnation id.Incarnation `json:"incarnation"`
		Own
		// Observed lists the entries whose heartbeats the sender received
		// directly; in a heartbeat that is not an answer, only the receiver.
		Observed []Observation `json:"heard,omitempty"`
	}

	// Observation reports that the sender of a heartbeat received a heartbeat
	// directly from an entry.
	Observation struct {
		// Instance is the entry.
		Instance id.Instance `json:"instance"`
		// Incarnation is that of the entry's process.
		Incarnation id.Incarnation `json:"incarnation"`
		// Age is the time between the entry's last heartbeat and this one.
		Age unit.Duration `json:"age"`
		// Leaving reports whether the entry was shutting down.
		Leaving bool `json:"leaving,omitempty"`
	}
)

// Check validates a decoded heartbeat.
func (b *Beat) Check() error {
	if b.Instance == "" || b.Incarnation == 0 {
		return eris.New("beat without a sender")
	}
	if len(b.Observed) > maxObserved {
		return eris.Errorf("beat names %d entries, want at most %d", len(b.Observed), maxObserved)
	}
	for _, h := range b.Observed {
		if h.Instance == "" || h.Age < 0 || h.Age.Std() > 24*time.Hour {
			return eris.Errorf("beat names %q with age %s", h.Instance, h.Age)
		}
	}
	return nil
}
