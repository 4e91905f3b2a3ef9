package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/shallotpier/shallotpier/pkg/result"
)

type (
	// Source provides the answers of the listener and carries out its
	// commands. It is safe for concurrent use. If a command can't be carried
	// out, the error is an *Error.
	Source interface {
		// Status returns the current state of the entry.
		Status(ctx context.Context) (Status, error)
		// Explain returns how a request would be routed now, and why.
		Explain(ctx context.Context, q Query) (Explanation, error)
		// Drain starts draining the target and returns immediately. It has no
		// effect on a target that is draining already.
		Drain(ctx context.Context, t Target) (Progress, error)
		// Undrain ends the drain of the target, so that it gets new requests
		// again.
		Undrain(ctx context.Context, t Target) (Progress, error)
		// Progress returns the progress of a drain.
		Progress(ctx context.Context, t Target) (Progress, error)
		// Quarantined lists the quarantined requests.
		Quarantined(ctx context.Context) ([]Quarantined, error)
		// Lift ends the quarantine with the ID.
		Lift(ctx context.Context, id string) error
		// WriteMetrics writes the metrics in the Prometheus text format.
		WriteMetrics(w io.Writer)
		// Ready returns nil if the entry is ready for requests, and otherwise
		// an error with the reason.
		Ready() error
	}

	// Error is the reason why a command failed.
	Error struct {
		// Code is the result code.
		Code result.Code `json:"code"`
		// Text describes the failure.
		Text string `json:"text"`
	}
)

// Errorf returns an Error with the code and a formatted text.
func Errorf(code result.Code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// Error returns the text with the code.
func (e *Error) Error() string { return fmt.Sprintf("%s (code %d)", e.Text, e.Code) }
