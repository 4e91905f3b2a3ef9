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
	// raiseDelay is how long a higher limit in a report is held back, longer than the
	// answers of a server in use and the reports of them are apart.
	raiseDelay = 2 * time.Second
	// unknownDelay is how long an entry waits that doesn't know the others yet.
	unknownDelay = time.Second
)

type (
	// limit is what is known of a server that names a limit, or did recently.
	limit struct {
		rate unit.Rate // 0 if the limit has ended
		// stamp is that of the newest answer, and latest the highest one in any report.
		stamp, latest stamp
		heard         time.Time // when the newest answer with a limit, or its end, became known
		changed       time.Time
		raise         raise
		limiter       sharedrate.Limiter
		// trial is the time of the latest request without a share.
		trial time.Time
	}

	// raise is a higher limit, or the end of one, in reports of other entries.
	raise struct {
		rate  unit.Rate
		stamp stamp
		since time.Time // when the first report arrived
	}

	// stamp orders the answers of a server: the Unix time of the arrival in
	// milliseconds, or a higher number if the entry knew a later stamp. So an answer
	// counts as newer than all that its entry knew before, also where clocks differ.
	stamp int64
)

// observe applies an answer that arrived now.
func (l *limit) observe(now time.Time, rate unit.Rate) {
	l.latest = max(stamp(now.UnixMilli()), l.latest+1)
	l.set(now, l.latest, rate)
}

// report applies the report of another entry that arrived now. A lower limit counts at
// once. A higher one counts after raiseDelay, if no newer answer has become known by
// then: an entry that was paused may have read an old answer late.
func (l *limit) report(now time.Time, at stamp, rate unit.Rate) {
	l.latest = max(l.latest, at)
	switch {
	case at <= l.stamp:
	case l.rate == 0 || rate > 0 && rate <= l.rate:
		l.set(now, at, rate)
	default:
		since := l.raise.since
		if since.IsZero() {
			since, l.changed = now, now
		}
		if at > l.raise.stamp {
			l.raise = raise{rate, at, since}
		}
	}
}

// settle applies a higher limit that has been held back for long enough.
func (l *limit) settle(now time.Time) {
	if !l.raise.since.IsZero() && now.Sub(l.raise.since) >= raiseDelay {
		l.set(now, l.raise.stamp, l.raise.rate)
	}
}

// newest returns what the newest answer named, and its stamp, also if it is held back.
func (l *limit) newest() (unit.Rate, stamp) {
	if !l.raise.since.IsZero() {
		return l.raise.rate, l.raise.stamp
	}
	return l.rate, l.stamp
}

func (l *limit) set(now time.Time, at stamp, rate unit.Rate) {
	if rate != l.rate {
		l.changed = now
	}
	if at >= l.raise.stamp {
		l.raise = raise{}
	}
	if rate > 0 || l.rate > 0 { // an ended limit is forgotten some time after its end
		l.heard = now
	}
	l.rate, l.stamp = rate, at
}

// quota returns what all entries together may send to a server. The requests of one window
// may come at its end and those of the next at its beginning.
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
	if l.trial.After(l.heard) {
		return l.trial.Add(idle)
	}
	return l.heard.Add(idle)
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
