package leaving

import "time"

// Phases of a planned stop, in their order.
const (
	// Serving means that no stop has begun.
	Serving Phase = iota
	// Announced means that the entry is leaving and still takes new requests.
	Announced
	// Closed means that the entry takes no new requests.
	Closed
	// Done means that nothing runs any more.
	Done
)

type (
	// Phase is a phase of a planned stop.
	Phase uint8

	// Stop is the planned stop of one entry. The zero Stop has not begun and
	// doesn't wait for answers to run out. It is not safe for concurrent use.
	Stop struct {
		// Validity is the longest time that an answer to a look-up holds.
		Validity time.Duration
		// Spread is the longest time until all peers know of the stop; they
		// may name the entry in answers until then.
		Spread time.Duration

		begun time.Time
		done  bool
	}
)

// Begin begins the stop; later calls do nothing.
func (s *Stop) Begin(now time.Time) {
	if s.begun.IsZero() {
		s.begun = now
	}
}

// ClosesAt returns when the entry stops to take new requests; it is false
// before Begin.
func (s *Stop) ClosesAt() (time.Time, bool) {
	return s.begun.Add(s.Spread + s.Validity), !s.begun.IsZero()
}

// Phase returns the phase at now, with running the number of requests that
// the entry carries. Once Done it stays Done.
func (s *Stop) Phase(now time.Time, running int) Phase {
	closes, begun := s.ClosesAt()
	switch {
	case !begun:
		return Serving
	case s.done:
		return Done
	case now.Before(closes):
		return Announced
	case running > 0:
		return Closed
	default:
		s.done = true
		return Done
	}
}

// String names the phase in lowercase.
func (p Phase) String() string {
	switch p {
	case Announced:
		return "announced"
	case Closed:
		return "closed"
	case Done:
		return "done"
	default:
		return "serving"
	}
}
