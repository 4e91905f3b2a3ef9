package measured

import "time"

const (
	// Missing means that the value was never measured. It is the zero State.
	Missing State = iota
	// Fresh means that the value's age is within the reader's limit.
	Fresh
	// Stale means that the value is older than the reader's limit.
	Stale
	// Future means that the value's time is later than the reader's by more than the
	// allowed clock skew, 2 s.
	Future
)

const maxSkew = 2 * time.Second

type (
	// State reports whether a value may be used.
	State uint8

	// Value is a value with the time of its measurement. The zero Value is Missing.
	// It is immutable and safe for concurrent use.
	Value[T any] struct {
		value T
		at    time.Time
	}
)

// At returns a value measured at the given time, which must not be zero.
func At[T any](value T, at time.Time) Value[T] { return Value[T]{value: value, at: at} }

// Read returns the value if its age at now is at most limit, and otherwise the zero
// value with a state that gives the reason.
func (v Value[T]) Read(now time.Time, limit time.Duration) (T, State) {
	var zero T
	switch age, ok := v.Age(now); {
	case !ok:
		return zero, Missing
	case age < -maxSkew:
		return zero, Future
	case age > limit:
		return zero, Stale
	default:
		return v.value, Fresh
	}
}

// Age returns the age of the value at now, and false if it was never measured. The
// age is negative if the value's time is after now.
func (v Value[T]) Age(now time.Time) (time.Duration, bool) {
	if v.at.IsZero() {
		return 0, false
	}
	return now.Sub(v.at), true
}

// String names the state in lowercase.
func (s State) String() string {
	switch s {
	case Fresh:
		return "fresh"
	case Stale:
		return "stale"
	case Future:
		return "future"
	default:
		return "missing"
	}
}
