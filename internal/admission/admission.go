package admission

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

type (
	// Request holds the properties of a request that admission may depend on.
	Request struct {
		// Service is the service file that was active when the request arrived.
		Service *service.File
		// Class is the request's class in Service.
		Class *service.Class
		// Caller is the caller's address.
		Caller netip.Addr
		// Deadline is the time by which the request must be complete.
		Deadline time.Time
		// BodySize is the declared size of the body, -1 if none is declared.
		BodySize unit.Bytes
		// Tried lists the servers that earlier attempts were sent to.
		Tried []id.Server
	}

	// Permit is one slot on one backend server.
	Permit interface {
		// Server returns the backend server. It must not be modified.
		Server() *service.Server
		// Release returns the slot. Only the first call has an effect.
		Release(Outcome)
	}

	// Paced is a Permit whose request body is rate limited.
	Paced interface {
		Permit
		// Next returns how many of the wanted bytes may be sent now. If n is
		// 0, the sender calls it again after wait.
		Next(now time.Time, want int) (n int, wait time.Duration)
	}

	// Outcome is the result of one attempt, as observed by the entry.
	Outcome struct {
		// Code is the result code of the attempt.
		Code result.Code
		// Latency is the time to the first byte of the response, 0 if there
		// was none.
		Latency time.Duration
		// RunningUntil is the latest time until which the backend server may
		// still run the request; the zero time if it no longer does. The slot
		// stays in use until then.
		RunningUntil time.Time
	}

	// Admitter grants permits. It is safe for concurrent use.
	Admitter interface {
		// Admit returns a permit or a *RefusedError. It may wait for a slot
		// until the request's deadline or until ctx is done.
		Admit(ctx context.Context, req *Request) (Permit, error)
	}

	// RefusedError reports why a request was not admitted. The refused
	// attempt was not sent to a backend server.
	RefusedError struct {
		// Code is the result code for the caller.
		Code result.Code
		// RetryAfter is the time after which the caller should retry.
		RetryAfter time.Duration
	}
)

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with code %d, retry after %s", e.Code, e.RetryAfter)
}
