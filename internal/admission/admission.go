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
	// Request is what decisions may know of a request.
	Request struct {
		// Service is the service's file as in force when the request came.
		Service *service.File
		// Class is the request's class in it.
		Class *service.Class
		// Caller is the caller's address.
		Caller netip.Addr
		// Deadline is when the request must have ended.
		Deadline time.Time
		// Body is the announced size of the body, -1 if it is not announced.
		Body unit.Bytes
		// Tried lists the servers that earlier sends of the request went to.
		Tried []id.Server
	}

	// Permit is one slot on one backend server.
	Permit interface {
		// Server returns the backend server, which must not be changed.
		Server() *service.Server
		// Release gives the slot back. Later calls do nothing.
		Release(Outcome)
	}

	// Paced is a Permit whose request body must be sent at a limited rate.
	Paced interface {
		Permit
		// Next returns how many of the wanted bytes may be sent now; if none,
		// wait tells when to ask again.
		Next(now time.Time, want int) (n int, wait time.Duration)
	}

	// Outcome is what a send showed of its backend server.
	Outcome struct {
		// Code is the result code of the send.
		Code result.Code
		// Latency is the time to the first byte of the answer; 0 if none came.
		Latency time.Duration
		// Running is the time after which the backend server can't still be
		// running the request; the zero time if it is not. The slot stays in
		// use until then.
		Running time.Time
	}

	// Admitter permits sends. It is safe for concurrent use.
	Admitter interface {
		// Admit returns a permit or a *RefusedError. It may wait for a slot,
		// but not past the request's deadline or the end of ctx.
		Admit(ctx context.Context, req *Request) (Permit, error)
	}

	// RefusedError says why a request is not permitted. It was not run.
	RefusedError struct {
		// Code is the numbered reason.
		Code result.Code
		// RetryAfter is when coming back makes sense.
		RetryAfter time.Duration
	}
)

// Error formats the refusal with its code.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with code %d, retry after %s", e.Code, e.RetryAfter)
}
