package drain

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Outcomes that a forecast may have.
const (
	// Unknown means that nobody can tell yet. It is the zero Outcome.
	Unknown Outcome = iota
	// Ends means that the request ends before the drain time is over.
	Ends
	// Outlasts means that it would go on after that.
	Outlasts
)

// Phases of a leaving server.
const (
	// Draining means that requests run and the drain time is not over.
	Draining Phase = iota
	// Empty means that nothing runs.
	Empty
	// Overdue means that requests run and the drain time is over.
	Overdue
)

const (
	// NoticeLimit is the time within which every entry must have stopped
	// sending new requests to a server that is marked as leaving.
	NoticeLimit = 3 * time.Second
	// ProgressAge is the greatest age of an upload's progress that a forecast
	// uses.
	ProgressAge = 30 * time.Second
	// minProgress is how long an upload must have run for its speed to count.
	minProgress = 2 * time.Second
	// answerTime is what an upload may take after its last byte.
	answerTime = 5 * time.Second
	// longest is the longest forecast in seconds that is given as a time.
	longest = 24 * 3600
)

type (
	// Outcome tells whether a request will end in time.
	Outcome uint8

	// Phase is how far a drain has come.
	Phase uint8

	// Work is a request that runs on the server.
	Work struct {
		// Class is the request's class.
		Class id.Class
		// Started is when it was sent.
		Started time.Time
		// Deadline is when it must have ended.
		Deadline time.Time
		// Size is the announced size of its body, below 0 if it has none.
		Size unit.Bytes
	}

	// Forecast tells how a request stands against the drain time.
	Forecast struct {
		// ID is the request's.
		ID uint64
		// Work is the request.
		Work Work
		// Sent is what has moved of its body, as last seen.
		Sent unit.Bytes
		// Outcome is the forecast itself.
		Outcome Outcome
		// End is when the request is expected to end; zero if that is unknown.
		End time.Time
	}

	// Server is one leaving backend server at one entry. It is not safe for
	// concurrent use.
	Server struct {
		noticed time.Time
		until   time.Time
		work    map[uint64]*running
	}

	running struct {
		work Work
		sent measured.Value[unit.Bytes]
		seen unit.Bytes
	}
)

// NewServer returns a server that was noticed to leave at a time. A drain time
// below 0 counts as 0.
func NewServer(noticed time.Time, drainTime time.Duration) *Server {
	return &Server{noticed: noticed, until: noticed.Add(max(drainTime, 0)), work: make(map[uint64]*running)}
}

// Noticed returns when the server was marked as leaving.
func (s *Server) Noticed() time.Time { return s.noticed }

// Until returns the end of the drain time.
func (s *Server) Until() time.Time { return s.until }

// Begin adds a request that runs on the server.
func (s *Server) Begin(request uint64, w Work) { s.work[request] = &running{work: w} }

// Progress notes how many bytes of a request's body have moved. Numbers below
// an earlier one or above the announced size are left out.
func (s *Server) Progress(request uint64, sent unit.Bytes, now time.Time) {
	r := s.work[request]
	if r == nil || sent < r.seen || (r.work.Size >= 0 && sent > r.work.Size) {
		return
	}
	r.seen, r.sent = sent, measured.At(sent, now)
}

// End removes a request.
func (s *Server) End(request uint64) { delete(s.work, request) }

// Phase returns how far the drain has come.
func (s *Server) Phase(now time.Time) Phase {
	switch {
	case len(s.work) == 0:
		return Empty
	case now.Before(s.until):
		return Draining
	default:
		return Overdue
	}
}

// Forecasts returns what runs: first what will outlast the drain time, then
// what is unknown, then the rest, each by request.
func (s *Server) Forecasts(now time.Time) []Forecast {
	list := make([]Forecast, 0, len(s.work))
	for request, r := range s.work {
		outcome, end := r.forecast(now, s.until)
		list = append(list, Forecast{ID: request, Work: r.work, Sent: r.seen, Outcome: outcome, End: end})
	}
	slices.SortFunc(list, func(a, b Forecast) int {
		return cmp.Or(cmp.Compare(rank(a.Outcome), rank(b.Outcome)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func (r *running) forecast(now, until time.Time) (Outcome, time.Time) {
	if !r.work.Deadline.IsZero() && !r.work.Deadline.After(until) {
		return Ends, r.work.Deadline
	}
	sent, state := r.sent.Read(now, ProgressAge)
	age, _ := r.sent.Age(now)
	ran := now.Add(-age).Sub(r.work.Started)
	if state != measured.Fresh || r.work.Size < 0 || sent <= 0 || ran < minProgress {
		return Unknown, time.Time{}
	}
	left := float64(r.work.Size-sent) / float64(sent) * ran.Seconds()
	if left > longest {
		return Outlasts, time.Time{}
	}
	end := now.Add(-age).Add(time.Duration(left*float64(time.Second)) + answerTime)
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

// String names the outcome in lowercase.
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

// String names the phase in lowercase.
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
