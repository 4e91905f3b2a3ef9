package result

import (
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// Headers of requests and answers between a caller and an entry.
const (
	// HeaderCode contains the Code of an answer, in decimal.
	HeaderCode = "Shallotpier-Code"
	// HeaderRan contains the Ran of an answer: yes, no or unknown.
	HeaderRan = "Shallotpier-Ran"
	// HeaderVersion contains a configuration version: in an answer, the one that
	// it is based on; in a request, the highest one that the caller has seen.
	HeaderVersion = "Shallotpier-Version"
	// HeaderEntry names the entry instance that answered.
	HeaderEntry = "Shallotpier-Entry"
	// HeaderServer names the backend server that a request was sent to.
	HeaderServer = "Shallotpier-Server"
	// HeaderTicket contains the ticket of an at-most-once request.
	HeaderTicket = "Shallotpier-Ticket"
	// HeaderDeadline contains the time left for the request, in milliseconds.
	HeaderDeadline = "Shallotpier-Deadline"
	// HeaderRequestID contains the request's ID, which entries forward to the
	// backend server.
	HeaderRequestID = "Shallotpier-Request-Id"
	// HeaderSend contains the ID of one send of a request to a backend server.
	// Connections are reused only for backend servers that return the header in
	// their answers.
	HeaderSend = "Shallotpier-Send"
	// HeaderKey contains the caller's own idempotency key, if it has one.
	HeaderKey = "Idempotency-Key"
	// HeaderShed is set to "1" by a backend server that shed a request without
	// running any part of it.
	HeaderShed = "Shallotpier-Shed"
)

const (
	// Unknown means that it can't be determined whether the request ran. It is
	// the zero value.
	Unknown Ran = iota
	// No means that the request provably did not run.
	No
	// Yes means that the backend server answered it.
	Yes
)

// Groups of the request codes: the thousands of a Code.
const (
	groupSize = 1000

	servedGroup  = 1
	refusedGroup = 2
	unknownGroup = 3
)

type (
	// Ran reports whether a request was run by a backend server.
	Ran uint8

	// Code is a result code. Its thousands are the group: 1 served, 2 refused
	// and not run, 3 ended with unknown outcome, 4 settings and service files,
	// 5 platform store and publication, 6 operator commands.
	Code int

	// Info describes a Code.
	Info struct {
		// Code is the number.
		Code Code
		// Name is the code's name in logs, in camel case.
		Name string
		// Status is the HTTP status of an entry's answer; 0 if the code is not
		// used in answers of entries, or if the status is the backend server's.
		Status int
		// Ran reports whether the request ran.
		Ran Ran
		// Meaning describes the outcome.
		Meaning string
		// Caller states what the caller should do; empty if the code is not
		// reported to callers.
		Caller string
		// Operator states what the operator should do.
		Operator string
	}
)

// String returns "yes", "no" or "unknown".
func (r Ran) String() string {
	switch r {
	case Yes:
		return "yes"
	case No:
		return "no"
	default:
		return "unknown"
	}
}

// UnmarshalText decodes "yes", "no" or "unknown".
func (r *Ran) UnmarshalText(text []byte) error {
	switch string(text) {
	case "yes":
		*r = Yes
	case "no":
		*r = No
	case "unknown":
		*r = Unknown
	default:
		return eris.Errorf("ran %q: want yes, no or unknown", text)
	}
	return nil
}

// String returns the number in decimal.
func (c Code) String() string { return strconv.Itoa(int(c)) }

// Info returns the code's description; ok is false if the number is not in the
// table.
func (c Code) Info() (info Info, ok bool) {
	for _, i := range c.group() {
		if i.Code == c {
			return i, true
		}
	}
	return Info{Code: c, Status: http.StatusInternalServerError}, false
}

// Ran reports whether a request that ended with the code ran. For the codes of
// requests it needs no table lookup, so that it is cheap on the request path.
func (c Code) Ran() Ran {
	switch c / groupSize {
	case servedGroup:
		return Yes
	case refusedGroup:
		return No
	case unknownGroup:
		return Unknown
	default:
		info, _ := c.Info()
		return info.Ran
	}
}

func (c Code) group() []Info {
	switch c / groupSize {
	case servedGroup:
		return servedCodes()
	case refusedGroup:
		return refusedCodes()
	case unknownGroup:
		return unknownCodes()
	default:
		return Codes()
	}
}
