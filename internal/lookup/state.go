package lookup

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
)

// States of a site.
const (
	// Doubtful means that nothing certain is known of the site. It is the
	// zero State.
	Doubtful State = iota
	// Live means that the site takes requests.
	Live
	// Leaving means that the site is about to stop.
	Leaving
	// Down means that the site is lost.
	Down
)

// State tells whether callers may be sent to a site.
type State uint8

// Judge returns the state that a reported one stands for at now: Doubtful if
// it is missing, older than limit, from the future, or not one of the states.
func Judge(v measured.Value[State], now time.Time, limit time.Duration) State {
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
