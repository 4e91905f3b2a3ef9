package serverlimit

import (
	"math"
	"time"

	"github.com/shallotpier/shallotpier/internal/sharedrate"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// burstSpan and burstRequests make up the number of requests that a server may get
	// at once: those of this time, and some more so that a low limit can be divided. A
	// window of 4 s contains the requests of at most two bursts.
	burstSpan     = 3 * time.Second
	burstRequests = 2
	// maxSpan bounds the window of a low limit.
	maxSpan = 10 * time.Second
	// quietTime is how long no answer of a server must have arrived until an entry
	// without a share may send a request: longer than the window, the request and the
	// report of another entry usually take.
	quietTime = 10 * time.Second
	// trialRequests, divided by the limit, is the time between the trials of two entries
	// without a share, and minTrialStep is its minimum.
	trialRequests = 4
	minTrialStep  = 500 * time.Millisecond
	// unknownDelay is how long an entry waits that doesn't know the others yet.
	unknownDelay = time.Second
)

// limit is what is known of a server that names a limit, or did recently.
type limit struct {
	rate    unit.Rate // 0 if the limit has ended
	at      time.Time // arrival of the newest answer
	changed time.Time
	limiter sharedrate.Limiter
	// trial is the time of the latest request without a share.
	trial time.Time
}

// quota returns what all entries together may send to a server. Requests of one window
// may come at its end and those of the next at its beginning, so the window is short.
func quota(rate unit.Rate) sharedrate.Quota {
	r := float64(rate)
	requests := max(math.Floor(min(r*burstSpan.Seconds()+burstRequests, r*maxSpan.Seconds())), 1)
	return sharedrate.Quota{Requests: int(requests), Span: time.Duration(requests / r * float64(time.Second))}
}

// next returns the earliest time at which an entry that started at a time may send a
// request.
func (l *limit) next(now, started time.Time, s Share) time.Time {
	if s.Entries == 0 {
		return now.Add(unknownDelay)
	}
	all := quota(l.rate)
	if from := started.Add(all.Span); now.Before(from) {
		return from
	}
	if own := all.Share(s.Entries, s.Rank); own.Requests > 0 {
		return l.limiter.Next(now, own)
	}
	step := max(time.Duration(trialRequests/float64(l.rate)*float64(time.Second)), minTrialStep)
	idle := min(quietTime+time.Duration(s.Rank-all.Requests)*step, retention)
	latest := l.at
	if l.trial.After(latest) {
		latest = l.trial
	}
	return latest.Add(idle)
}

// count counts a request of an entry.
func (l *limit) count(now time.Time, s Share) {
	own := quota(l.rate).Share(s.Entries, s.Rank)
	if own.Requests == 0 {
		l.trial = now
		return
	}
	l.limiter.Take(now, own)
}
