package membership

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/config"
	"github.com/shallotpier/shallotpier/internal/loads"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const maxHeard = 1024

type (
	// Own is what an entry says of itself.
	Own struct {
		// Config is the publication that it has in force, zero for none.
		Config config.Ref `json:"config"`
		// Leaving tells that it is about to stop.
		Leaving bool `json:"leaving,omitempty"`
		// Starting tells that it can't take its part of the load yet.
		Starting bool `json:"starting,omitempty"`
		// Uses lists the slots that it uses.
		Uses loads.Uses `json:"uses,omitempty"`
	}

	// Beat is a heartbeat, and the answer to one.
	Beat struct {
		// Instance is the sender.
		Instance id.Instance `json:"instance"`
		// Incarnation is that of the sender's process.
		Incarnation id.Incarnation `json:"incarnation"`
		Own
		// Heard lists whom the sender heard directly; in a beat that is no
		// answer, the receiver alone.
		Heard []Heard `json:"heard,omitempty"`
	}

	// Heard says that the sender of a beat heard an entry directly.
	Heard struct {
		// Instance is the entry.
		Instance id.Instance `json:"instance"`
		// Incarnation is that of the entry's process.
		Incarnation id.Incarnation `json:"incarnation"`
		// Age is how long before the beat it was last heard.
		Age unit.Duration `json:"age"`
		// Leaving tells that it was about to stop.
		Leaving bool `json:"leaving,omitempty"`
	}
)

// Check tells what is wrong with a decoded beat, nil if nothing is.
func (b *Beat) Check() error {
	if b.Instance == "" || b.Incarnation == 0 {
		return eris.New("beat without a sender")
	}
	if len(b.Heard) > maxHeard {
		return eris.Errorf("beat names %d entries, want at most %d", len(b.Heard), maxHeard)
	}
	for _, h := range b.Heard {
		if h.Instance == "" || h.Age < 0 || h.Age.Std() > 24*time.Hour {
			return eris.Errorf("beat names %q with age %s", h.Instance, h.Age)
		}
	}
	return nil
}
