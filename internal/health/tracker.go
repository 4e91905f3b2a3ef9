package health

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// Verdicts on a server.
const (
	// No means that no request may be sent. It is the zero Verdict.
	No Verdict = iota
	// Trial means that a single request may be sent to test the server.
	Trial
	// Yes means that requests may be sent.
	Yes
)

// Results of a send.
const (
	// Neutral is a result that does not concern the server's health, as when the
	// caller disconnected. It is the zero Event.
	Neutral Event = iota
	// Answered means that the server sent a complete answer.
	Answered
	// Shed means that the server refused the request before running it (load
	// shedding).
	Shed
	// ConnectFailed means that no connection could be established.
	ConnectFailed
	// ConnectionClosed means that the connection was closed before the complete answer.
	ConnectionClosed
	// TimedOut means that a connection stalled, or that no answer arrived within the
	// deadline.
	TimedOut
)

const (
	// MaxAge is the maximum age of a probe, report or answer that is taken into
	// account.
	MaxAge = 30 * time.Second

	maxFailures  = 2
	minBackoff   = time.Second
	maxBackoff   = 30 * time.Second
	minShedPause = 250 * time.Millisecond
	maxShedPause = 8 * time.Second
	trialTimeout = 30 * time.Second
)

type (
	// Verdict is the decision whether a request may be sent.
	Verdict uint8

	// Event is the result of one send.
	Event uint8

	// Report is the load that a server reports.
	Report struct {
		// Slots is the maximum number of requests that it runs concurrently.
		Slots int
		// Running is the number of requests that it runs.
		Running int
		// Refuses is set while it refuses new requests.
		Refuses bool
	}

	// Tracker is the health of one backend server as seen by one entry. Its zero
	// value has no information and allows a trial. It is not safe for concurrent use.
	Tracker struct {
		lastAnswer   time.Time
		lastStall    time.Time
		failures     int
		ejected      bool
		backoff      time.Duration
		blockedUntil time.Time
		shedPause    time.Duration
		trialBegun   time.Time
	}
)

// EventOf returns the event for the result code of a send.
func EventOf(code result.Code) Event {
	switch code {
	case result.Served, result.Replayed:
		return Answered
	case result.ShedByServer:
		return Shed
	case result.ConnectFailed:
		return ConnectFailed
	case result.AnswerCut:
		return ConnectionClosed
	case result.ConnectionSilent, result.AnswerLate:
		return TimedOut
	default:
		return Neutral
	}
}

// Observe records the result of a send.
func (t *Tracker) Observe(now time.Time, e Event) {
	onTrial := t.onTrial(now)
	t.trialBegun = time.Time{} // another trial may begin
	switch e {
	case Answered:
		t.lastAnswer = now
		t.failures, t.backoff, t.shedPause, t.ejected = 0, 0, 0, false
	case Shed:
		t.shedPause = grow(t.shedPause, minShedPause, maxShedPause)
		t.blockedUntil = later(t.blockedUntil, now.Add(t.shedPause))
	case ConnectFailed, ConnectionClosed:
		t.failures++
		if t.failures >= maxFailures || onTrial {
			t.ejected = true
			t.backoff = grow(t.backoff, minBackoff, maxBackoff)
			t.blockedUntil = later(t.blockedUntil, now.Add(t.backoff))
		}
	case TimedOut:
		t.lastStall = now
	}
}

// Reached records that the server accepted a connection after failures: it may be
// tried at once.
func (t *Tracker) Reached(now time.Time) {
	if t.blockedUntil.After(now) {
		t.blockedUntil = now
	}
	t.backoff = 0
}

// Ejected reports whether failures ejected the server and no answer arrived since.
func (t *Tracker) Ejected() bool { return t.ejected }

// BeginTrial records that a request is sent under the verdict Trial.
func (t *Tracker) BeginTrial(now time.Time) { t.trialBegun = now }

// MaySend returns the verdict, and for No the time after which to ask again. The
// value of probe is whether the server answered it.
func (t *Tracker) MaySend(now time.Time, probe measured.Value[bool], report measured.Value[Report]) (v Verdict, retryAfter time.Duration) {
	switch {
	case now.Before(t.blockedUntil):
		return No, t.blockedUntil.Sub(now)
	case refuses(now, report):
		return No, minBackoff
	case !t.ejected && !t.doubtful(now, probe, report):
		return Yes, 0
	case t.onTrial(now):
		return No, minShedPause
	default:
		return Trial, 0
	}
}

func (t *Tracker) onTrial(now time.Time) bool {
	return !t.trialBegun.IsZero() && now.Sub(t.trialBegun) < trialTimeout
}

// Unproven reports whether no source contradicts the server's health, so that the
// verdict Trial is only due to a lack of fresh information.
func (t *Tracker) Unproven(now time.Time, probe measured.Value[bool], report measured.Value[Report]) bool {
	return !t.ejected && !now.Before(t.blockedUntil) && !refuses(now, report) && !t.suspect(now, probe)
}

// doubtful reports whether the newest information on the server is negative, or none
// of it is fresh.
func (t *Tracker) doubtful(now time.Time, probe measured.Value[bool], report measured.Value[Report]) bool {
	if t.suspect(now, probe) {
		return true
	}
	_, probed := probe.Read(now, MaxAge)
	_, reported := validReport(now, report)
	return now.Sub(t.lastAnswer) > MaxAge && probed != measured.Fresh && !reported
}

// suspect reports whether a connection stalled or a probe failed after the last
// answer.
func (t *Tracker) suspect(now time.Time, probe measured.Value[bool]) bool {
	if t.lastAnswer.Before(t.lastStall) {
		return true
	}
	good, state := probe.Read(now, MaxAge)
	age, _ := probe.Age(now)
	return state == measured.Fresh && !good && now.Add(-age).After(t.lastAnswer)
}

func refuses(now time.Time, v measured.Value[Report]) bool {
	r, ok := validReport(now, v)
	return ok && r.Refuses
}

// validReport returns a fresh report whose numbers are in range, and false if there
// is none.
func validReport(now time.Time, v measured.Value[Report]) (Report, bool) {
	r, state := v.Read(now, MaxAge)
	ok := state == measured.Fresh && r.Slots > 0 && r.Running >= 0 && r.Running <= 100*r.Slots
	return r, ok
}

func grow(d, first, longest time.Duration) time.Duration {
	return min(max(2*d, first), longest)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// String names the verdict in lowercase.
func (v Verdict) String() string {
	switch v {
	case Yes:
		return "yes"
	case Trial:
		return "trial"
	default:
		return "no"
	}
}
