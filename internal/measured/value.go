package measured

import "time"

const (
	// Missing means that the value was never taken. It is the zero State.
	Missing State = iota
	// Fresh means that the value's age is within the reader's limit.
	Fresh
	// Stale means that the value is older than the reader's limit.
	Stale
	// Future means that the value claims a time after the reader's, by more
	// than the allowed skew.
	Future
)

const maxSkew = 2 * time.Second

type (
	// State tells whether a value may be used.
	State uint8

	// Value is a value with the time it was taken. The zero Value is Missing.
	// It is immutable and may be shared between goroutines.
	Value[T any] struct {
		value T
		at    time.Time
	}
)

// At returns a value taken at the given time, which must not be zero.
func At[T any](value T, at time.Time) Value[T] { return Value[T]{value: value, at: at} }

// Read returns the value if its age at now is at most limit, and the zero
// value with the reason otherwise.
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

// Age returns how long before now the value was taken; it is false for a
// value that never was. The age is negative for a time after now.
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
