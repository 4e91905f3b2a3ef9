package result

import (
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// Headers of requests and answers between a caller and an entry.
const (
	// HeaderCode holds the Code of an answer.
	HeaderCode = "Shallotpier-Code"
	// HeaderRan holds whether the request ran.
	HeaderRan = "Shallotpier-Ran"
	// HeaderVersion holds the configuration version that an answer rests on.
	HeaderVersion = "Shallotpier-Version"
	// HeaderEntry names the entry instance that answered.
	HeaderEntry = "Shallotpier-Entry"
	// HeaderServer names the backend server that a request was sent to.
	HeaderServer = "Shallotpier-Server"
	// HeaderTicket holds the ticket of a once-only request.
	HeaderTicket = "Shallotpier-Ticket"
	// HeaderDeadline holds the milliseconds that a request may still take.
	HeaderDeadline = "Shallotpier-Deadline"
	// HeaderRequestID holds the request's id, kept from caller to backend
	// server.
	HeaderRequestID = "Shallotpier-Request-Id"
	// HeaderSend holds the id of one send of a request to a backend server.
	// A backend server that repeats it in its answer gets its connections
	// used again.
	HeaderSend = "Shallotpier-Send"
	// HeaderKey holds the caller's own idempotency key, if it has one.
	HeaderKey = "Idempotency-Key"
	// HeaderShed is set to "1" by a backend server that refused a request
	// before running any of it.
	HeaderShed = "Shallotpier-Shed"
)

const (
	// Unknown means that nobody can tell whether the request ran. It is the
	// zero Ran.
	Unknown Ran = iota
	// No means that the request provably did not run.
	No
	// Yes means that the backend server answered it.
	Yes
)

// Groups of the codes of requests.
const (
	groupSize = 1000

	servedGroup  = 1
	refusedGroup = 2
	unknownGroup = 3
)

type (
	// Ran tells whether a request was run by a backend server.
	Ran uint8

	// Code numbers an outcome. Its thousands name the group: 1 served,
	// 2 refused and not run, 3 ended without proof, 4 settings and service
	// files, 5 platform store and publication, 6 operators' commands.
	Code int

	// Info describes a Code.
	Info struct {
		// Code is the number itself.
		Code Code
		// Name is the code's name in logs, in camelCase.
		Name string
		// Status is the HTTP status an entry answers with; 0 where the code is
		// not an answer of an entry or the status is the backend server's.
		Status int
		// Ran tells whether the request ran.
		Ran Ran
		// Meaning says when the code is given.
		Meaning string
		// Caller says what the caller should do.
		Caller string
		// Operator says what the operator should do.
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

// String returns the code's number in decimal.
func (c Code) String() string { return strconv.Itoa(int(c)) }

// Info returns the code's description; ok is false for a number that is not
// in the table.
func (c Code) Info() (info Info, ok bool) {
	for _, i := range c.group() {
		if i.Code == c {
			return i, true
		}
	}
	return Info{Code: c, Status: http.StatusInternalServerError}, false
}

// Ran tells whether a request that ended with the code was run. It doesn't
// look into the table, so that it may be used on the path of a request.
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
