package shutdown

import "time"

// Phases of graceful shutdown, in order.
const (
	// Serving means that shutdown has not begun.
	Serving Phase = iota
	// Announced means that shutdown has begun and the entry still accepts new
	// requests.
	Announced
	// Closed means that the entry rejects new requests.
	Closed
	// Done means that no request is running any more.
	Done
)

type (
	// Phase is a phase of graceful shutdown.
	Phase uint8

	// Sequence is the graceful shutdown of one entry. The zero Sequence has not
	// begun and doesn't wait for lookup answers to expire. It is not safe for
	// concurrent use.
	Sequence struct {
		// Validity is the longest time that an answer to a lookup is valid.
		Validity time.Duration
		// Propagation is the longest time until all peers are notified of the
		// shutdown; until then, their answers may contain the entry.
		Propagation time.Duration

		begun time.Time
		done  bool
	}
)

// Begin begins shutdown; later calls do nothing.
func (s *Sequence) Begin(now time.Time) {
	if s.begun.IsZero() {
		s.begun = now
	}
}

// ClosesAt returns the time from which the entry rejects new requests; it
// returns false before Begin.
func (s *Sequence) ClosesAt() (time.Time, bool) {
	return s.begun.Add(s.Propagation + s.Validity), !s.begun.IsZero()
}

// Phase returns the phase at now, where running is the number of requests
// running on the entry. Once it has returned Done, it always returns Done.
func (s *Sequence) Phase(now time.Time, running int) Phase {
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
