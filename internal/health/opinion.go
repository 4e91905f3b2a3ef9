package health

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// Verdicts.
const (
	// No means that nothing may be sent. It is the zero Verdict.
	No Verdict = iota
	// Trial means that one request may be sent to see whether it is answered.
	Trial
	// Yes means that requests may be sent.
	Yes
)

// What a send met.
const (
	// Nothing says nothing of the server, as when the caller went away. It is
	// the zero Event.
	Nothing Event = iota
	// Answered means that the server gave a whole answer.
	Answered
	// Shed means that it refused the request before running it.
	Shed
	// ConnectFailed means that no connection came about.
	ConnectFailed
	// Cut means that the connection ended before the whole answer.
	Cut
	// Silent means that a connection made no progress, or that no answer came
	// within the deadline.
	Silent
)

const (
	// MaxAge is the greatest age of a probe, report or answer that counts.
	MaxAge = 30 * time.Second

	failuresOut  = 2
	firstWait    = time.Second
	longestWait  = 30 * time.Second
	firstShed    = 250 * time.Millisecond
	longestShed  = 8 * time.Second
	trialTimeout = 30 * time.Second
)

type (
	// Verdict tells whether a request may be sent.
	Verdict uint8

	// Event is what one send met.
	Event uint8

	// Report is a server's own word on its load.
	Report struct {
		// Slots is the number of requests it runs at most.
		Slots int
		// Running is the number of requests it runs.
		Running int
		// Refuses is set while it takes no new requests.
		Refuses bool
	}

	// Opinion is one entry's opinion on one backend server. The zero Opinion
	// knows nothing of it and allows a trial. It is not safe for concurrent
	// use.
	Opinion struct {
		answered time.Time
		doubted  time.Time
		failures int
		out      bool
		wait     time.Duration
		until    time.Time
		shed     time.Duration
		trial    time.Time
	}
)

// EventOf returns the event that a result code of a send stands for.
func EventOf(code result.Code) Event {
	switch code {
	case result.Served, result.Replayed:
		return Answered
	case result.ShedByServer:
		return Shed
	case result.ConnectFailed:
		return ConnectFailed
	case result.AnswerCut:
		return Cut
	case result.ConnectionSilent, result.AnswerLate:
		return Silent
	default:
		return Nothing
	}
}

// Observe takes what a send met.
func (o *Opinion) Observe(now time.Time, e Event) {
	onTrial := o.onTrial(now)
	o.trial = time.Time{} // another may begin
	switch e {
	case Answered:
		o.answered = now
		o.failures, o.wait, o.shed, o.out = 0, 0, 0, false
	case Shed:
		o.shed = grow(o.shed, firstShed, longestShed)
		o.until = later(o.until, now.Add(o.shed))
	case ConnectFailed, Cut:
		o.failures++
		if o.failures >= failuresOut || onTrial {
			o.out = true
			o.wait = grow(o.wait, firstWait, longestWait)
			o.until = later(o.until, now.Add(o.wait))
		}
	case Silent:
		o.doubted = now
	}
}

// Reached takes in that the server took a connection after it had taken none: it
// may be tried at once.
func (o *Opinion) Reached(now time.Time) {
	if o.until.After(now) {
		o.until = now
	}
	o.wait = 0
}

// Out tells whether failures put the server out and no answer came since.
func (o *Opinion) Out() bool { return o.out }

// BeginTrial notes that a request is sent under the verdict Trial.
func (o *Opinion) BeginTrial(now time.Time) { o.trial = now }

// MaySend returns the verdict, and for No the time after which to ask again.
// The probe tells whether the server answered it.
func (o *Opinion) MaySend(now time.Time, probe measured.Value[bool], report measured.Value[Report]) (v Verdict, retryAfter time.Duration) {
	switch {
	case now.Before(o.until):
		return No, o.until.Sub(now)
	case refuses(now, report):
		return No, firstWait
	case !o.out && !o.doubtful(now, probe, report):
		return Yes, 0
	case o.onTrial(now):
		return No, firstShed
	default:
		return Trial, 0
	}
}

func (o *Opinion) onTrial(now time.Time) bool {
	return !o.trial.IsZero() && now.Sub(o.trial) < trialTimeout
}

// Unproven tells whether nothing speaks against the server, so that only news
// of it may be lacking.
func (o *Opinion) Unproven(now time.Time, probe measured.Value[bool], report measured.Value[Report]) bool {
	return !o.out && !now.Before(o.until) && !refuses(now, report) && !o.badNews(now, probe)
}

// doubtful tells whether the newest word on the server is a bad one, or there
// is none that is fresh.
func (o *Opinion) doubtful(now time.Time, probe measured.Value[bool], report measured.Value[Report]) bool {
	if o.badNews(now, probe) {
		return true
	}
	_, probed := probe.Read(now, MaxAge)
	_, reported := sane(now, report)
	return now.Sub(o.answered) > MaxAge && probed != measured.Fresh && !reported
}

// badNews tells whether a connection went silent, or the last probe failed,
// after the last answer.
func (o *Opinion) badNews(now time.Time, probe measured.Value[bool]) bool {
	if o.answered.Before(o.doubted) {
		return true
	}
	good, state := probe.Read(now, MaxAge)
	age, _ := probe.Age(now)
	return state == measured.Fresh && !good && now.Add(-age).After(o.answered)
}

func refuses(now time.Time, v measured.Value[Report]) bool {
	r, ok := sane(now, v)
	return ok && r.Refuses
}

// sane returns a fresh report with possible numbers.
func sane(now time.Time, v measured.Value[Report]) (Report, bool) {
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
