package drain

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Outcomes of a forecast.
const (
	// Unknown means that no prediction is possible yet. It is the zero
	// Outcome.
	Unknown Outcome = iota
	// Ends means that the request ends within the drain time.
	Ends
	// Outlasts means that it would run beyond the drain time.
	Outlasts
)

// Phases of a leaving server.
const (
	// Draining means that requests run and the drain time has not passed.
	Draining Phase = iota
	// Empty means that no request runs.
	Empty
	// Overdue means that requests run and the drain time has passed.
	Overdue
)

const (
	// NoticeLimit is the time within which every entry must stop sending new
	// requests to a server that is marked as leaving.
	NoticeLimit = 3 * time.Second
	// MaxProgressAge is the maximum age of an upload's progress; a forecast
	// ignores older progress.
	MaxProgressAge = 30 * time.Second
	// minProgress is how long an upload must have run before its rate is used.
	minProgress = 2 * time.Second
	// responseTime is the time allowed for the response after an upload's last
	// byte.
	responseTime = 5 * time.Second
	// maxForecast is the longest remaining time, in seconds, for which a
	// forecast has an end.
	maxForecast = 24 * 3600
)

type (
	// Outcome is the prediction of whether a request will end in time.
	Outcome uint8

	// Phase is the progress of a drain.
	Phase uint8

	// Request is a request that is running on the server.
	Request struct {
		// Class is its request class.
		Class id.Class
		// Started is when it was sent.
		Started time.Time
		// Deadline is when it must have ended.
		Deadline time.Time
		// Size is the declared size of its body, negative if none is declared.
		Size unit.Bytes
	}

	// Forecast is the prediction for one request.
	Forecast struct {
		// ID is the request's id.
		ID uint64
		// Request is the request.
		Request Request
		// Sent is the last reported number of bytes transferred of its body.
		Sent unit.Bytes
		// Outcome is the predicted outcome.
		Outcome Outcome
		// End is when the request is expected to end; zero if that is unknown.
		End time.Time
	}

	// Server is the state of one leaving backend server at one entry. It is not
	// safe for concurrent use.
	Server struct {
		noticed  time.Time
		until    time.Time
		requests map[uint64]*running
	}

	running struct {
		request  Request
		sent     measured.Value[unit.Bytes]
		lastSent unit.Bytes
	}
)

// NewServer returns a server that was marked as leaving at the given time. A
// negative drain time counts as 0.
func NewServer(noticed time.Time, drainTime time.Duration) *Server {
	return &Server{noticed: noticed, until: noticed.Add(max(drainTime, 0)), requests: make(map[uint64]*running)}
}

// Noticed returns when the server was marked as leaving.
func (s *Server) Noticed() time.Time { return s.noticed }

// Until returns the end of the drain time.
func (s *Server) Until() time.Time { return s.until }

// Begin adds a request that is running on the server.
func (s *Server) Begin(requestID uint64, r Request) { s.requests[requestID] = &running{request: r} }

// Progress records how many bytes of a request's body have been transferred. A
// number below an earlier one or above the declared size is ignored.
func (s *Server) Progress(requestID uint64, sent unit.Bytes, now time.Time) {
	r := s.requests[requestID]
	if r == nil || sent < r.lastSent || (r.request.Size >= 0 && sent > r.request.Size) {
		return
	}
	r.lastSent, r.sent = sent, measured.At(sent, now)
}

// End removes a request.
func (s *Server) End(requestID uint64) { delete(s.requests, requestID) }

// Phase returns the phase of the drain.
func (s *Server) Phase(now time.Time) Phase {
	switch {
	case len(s.requests) == 0:
		return Empty
	case now.Before(s.until):
		return Draining
	default:
		return Overdue
	}
}

// Forecasts returns the forecasts of all running requests: first those that
// outlast the drain time, then those of unknown outcome, then the rest, each group
// by id.
func (s *Server) Forecasts(now time.Time) []Forecast {
	list := make([]Forecast, 0, len(s.requests))
	for requestID, r := range s.requests {
		outcome, end := r.forecast(now, s.until)
		list = append(list, Forecast{ID: requestID, Request: r.request, Sent: r.lastSent, Outcome: outcome, End: end})
	}
	slices.SortFunc(list, func(a, b Forecast) int {
		return cmp.Or(cmp.Compare(rank(a.Outcome), rank(b.Outcome)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func (r *running) forecast(now, until time.Time) (Outcome, time.Time) {
	if !r.request.Deadline.IsZero() && !r.request.Deadline.After(until) {
		return Ends, r.request.Deadline
	}
	sent, state := r.sent.Read(now, MaxProgressAge)
	age, _ := r.sent.Age(now)
	elapsed := now.Add(-age).Sub(r.request.Started)
	if state != measured.Fresh || r.request.Size < 0 || sent <= 0 || elapsed < minProgress {
		return Unknown, time.Time{}
	}
	left := float64(r.request.Size-sent) / float64(sent) * elapsed.Seconds()
	if left > maxForecast {
		return Outlasts, time.Time{}
	}
	end := now.Add(-age).Add(time.Duration(left*float64(time.Second)) + responseTime)
	if end.After(until) {
		return Outlasts, end
	}
	return Ends, end
}

func rank(o Outcome) int {
	switch o {
	case Outlasts:
		return 0
	case Unknown:
		return 1
	default:
		return 2
	}
}

// String returns the outcome in lowercase.
func (o Outcome) String() string {
	switch o {
	case Ends:
		return "ends"
	case Outlasts:
		return "outlasts"
	default:
		return "unknown"
	}
}

// String returns the phase in lowercase.
func (p Phase) String() string {
	switch p {
	case Empty:
		return "empty"
	case Overdue:
		return "overdue"
	default:
		return "draining"
	}
}
