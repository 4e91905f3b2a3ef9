package quota

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// Parts is the number of parts of a limit. With three, the loss of an entry leaves two
	// thirds of it.
	Parts = 3
	// margin is the fraction of the term that stays unused. It covers the time from the
	// spending of a token to the sending of its request, and clocks of unequal rates.
	margin = 0.1
	// minTerm is the shortest term: some round trips between regions, and time to spend.
	minTerm = 250 * time.Millisecond
	// minFill and minTokens are what the buckets of small bursts hold: the rate of a time,
	// and a number of tokens each. With less, they overflow between two questions. They
	// take burstShare of the overshoot and allowance at most.
	minFill    = 300 * time.Millisecond
	minTokens  = 3
	burstShare = 1.0 / 3
)

type (
	// Bounds limit the requests of an organisation in any window.
	Bounds struct {
		// Window is the length of the windows; 0 switches quotas off.
		Window time.Duration
		// Overshoot is the fraction by which the limit may be exceeded in a window.
		Overshoot float64
		// Allowance is the number of requests allowed in addition.
		Allowance float64
	}

	// Organisation is the limit of an organisation.
	Organisation struct {
		// Name is the organisation's name.
		Name id.Organisation
		// Rate is the number of requests a second; 0 means no limit.
		Rate unit.Rate
		// Burst is the number of requests that may come at once.
		Burst float64
	}

	// Parameters are how a limit is enforced. The zero Parameters are no limit.
	Parameters struct {
		// Term is how long after its question a token may be spent.
		Term time.Duration
		// Rate and Burst are those of the buckets of all parts together.
		Rate  unit.Rate
		Burst float64
	}

	// Grant is the token of one request. The zero Grant is that of a request without limit.
	Grant struct {
		// Expires is the time until which the request may be sent.
		Expires boottime.Instant
		// Organisation is the organisation whose token it is.
		Organisation id.Organisation
	}

	// Outcome tells whether a request may be sent.
	Outcome uint8

	// Verdict is the decision on a request.
	Verdict struct {
		// Outcome tells whether the request may be sent.
		Outcome Outcome
		// Grant is the token of a request that may.
		Grant Grant
		// RetryAfter is the time until a token is likely, of one that may not.
		RetryAfter time.Duration
	}
)

// Outcomes.
const (
	// Granted requests may be sent.
	Granted Outcome = iota
	// Exceeded requests are over the limit.
	Exceeded
	// Unavailable requests are refused because no accountable entry has answered.
	Unavailable
	// Pending requests wait for an answer.
	Pending
)

// Enabled reports whether there are bounds.
func (b Bounds) Enabled() bool { return b.Window > 0 }

// Limit returns the number of an organisation's requests that a window may hold.
func (b Bounds) Limit(o *Organisation) float64 {
	return (float64(o.Rate)*b.Window.Seconds()+o.Burst)*(1+b.Overshoot) + b.Allowance
}

// Parameters returns how an organisation's limit is enforced. For its result p,
//
//	p.Rate x (Window + Term) + p.Burst <= Limit(o)
//
// holds with a margin. The buckets together hold the burst, but at least a token each. If
// the bound has no room for the shortest term, the rate is lowered.
func (b Bounds) Parameters(o *Organisation) Parameters {
	if !b.Enabled() || o.Rate <= 0 {
		return Parameters{}
	}
	rate, window, limit := float64(o.Rate), b.Window.Seconds(), b.Limit(o)
	shortest := minTerm.Seconds() / (1 - margin)
	spare := max(limit-rate*window-o.Burst, 0)
	burst := max(o.Burst, Parts, min(spare*burstShare, max(rate*minFill.Seconds(), Parts*minTokens)))
	term := (limit - burst - rate*window) / rate
	if term < shortest {
		term = shortest
		burst = min(max(o.Burst, Parts), limit/2+o.Burst/2)
		rate = min(rate, max(limit-burst, 0)/(window+term))
	}
	term = min(term*(1-margin), window)
	return Parameters{Term: time.Duration(term * float64(time.Second)), Rate: unit.Rate(rate), Burst: burst}
}

// Limited reports whether there is a limit.
func (p Parameters) Limited() bool { return p.Term > 0 }
