package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/shallotpier/shallotpier/pkg/result"
)

type (
	// Source is what the listener answers from. It is safe for concurrent
	// use. Its errors are *Error where a command can't be done.
	Source interface {
		// Status returns what the entry knows now.
		Status(ctx context.Context) (Status, error)
		// Explain returns why a request goes where it goes now.
		Explain(ctx context.Context, q Query) (Explanation, error)
		// Drain begins to drain the target and returns at once. Draining one
		// that is draining changes nothing.
		Drain(ctx context.Context, t Target) (Progress, error)
		// Undrain gives the target new work again.
		Undrain(ctx context.Context, t Target) (Progress, error)
		// Progress tells how far a drain is.
		Progress(ctx context.Context, t Target) (Progress, error)
		// Quarantined lists the quarantined requests.
		Quarantined(ctx context.Context) ([]Quarantined, error)
		// Lift ends a quarantine.
		Lift(ctx context.Context, id string) error
		// WriteMetrics writes the metrics in the Prometheus text format.
		WriteMetrics(w io.Writer)
		// Ready returns nil if the entry may be sent requests, and the reason
		// otherwise.
		Ready() error
	}

	// Error says what stopped a command.
	Error struct {
		// Code is the numbered reason.
		Code result.Code `json:"code"`
		// Text says what stopped the command.
		Text string `json:"text"`
	}
)

// Errorf returns an Error with a formatted text.
func Errorf(code result.Code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// Error formats the error with its code.
func (e *Error) Error() string { return fmt.Sprintf("%s (code %d)", e.Text, e.Code) }
