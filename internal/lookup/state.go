package lookup

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
)

// States of a site.
const (
	// Doubtful means that the state of the site is unknown. It is the zero
	// State.
	Doubtful State = iota
	// Live means that the site accepts requests.
	Live
	// Leaving means that the site is shutting down.
	Leaving
	// Down means that the site has failed or stopped.
	Down
)

// State determines whether callers may be directed to a site.
type State uint8

// EffectiveState returns the state to use for a reported one at now: Doubtful
// if the report is missing, older than limit, from the future, or not a valid
// state.
func EffectiveState(v measured.Value[State], now time.Time, limit time.Duration) State {
	s, state := v.Read(now, limit)
	if state != measured.Fresh || s > Down {
		return Doubtful
	}
	return s
}

// String names the state in lowercase.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Down:
		return "down"
	default:
		return "doubtful"
	}
}
