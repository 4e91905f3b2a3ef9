package ramp

import (
	"math"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
)

const (
	// MaxDuration is the maximum duration of a ramp.
	MaxDuration = 10 * time.Minute
	// MaxReportAge is the maximum age of a reported warmth that is used.
	MaxReportAge = 15 * time.Second
	// MaxLatencyAge is the maximum age of a warm latency that is used.
	MaxLatencyAge = time.Minute

	firstLevel = 1.0 / 8
	leastLevel = 1.0 / 16
	// largeStep, smallStep, minimalStep and stepDown are the factors of a step:
	// fast responses and a report, fast responses without a report, no known
	// warm latency, and slow responses or refusals.
	largeStep   = 1.5
	smallStep   = 1.2
	minimalStep = 1.1
	stepDown    = 0.7
	// holdFactor and stepDownFactor are multiples of the warm latency. Above
	// holdFactor the level doesn't rise, above stepDownFactor it is lowered.
	holdFactor     = 1.5
	stepDownFactor = 3.0
	// reportMargin is the amount by which the level may exceed the reported
	// warmth.
	reportMargin = 0.25
	// A step requires either a refusal or minAnswers responses, and
	// minStepInterval since the last step, or at least one response and
	// sparseStepInterval.
	minAnswers         = 8
	minStepInterval    = time.Second
	sparseStepInterval = 5 * time.Second
)

// Ramp is the slow start of one server or region. The zero Ramp is warm. A Ramp
// is not safe for concurrent use.
type Ramp struct {
	deficit float64 // 1 minus the level
	started time.Time
	stepped time.Time
	answers int
	refused int
	sum     time.Duration
}

// Start begins a slow start at the initial level.
func (r *Ramp) Start(now time.Time) {
	*r = Ramp{deficit: 1 - firstLevel, started: now, stepped: now}
}

// Answered records the latency of one response. Negative latencies are ignored.
func (r *Ramp) Answered(latency time.Duration) {
	if latency >= 0 && latency < math.MaxInt64-r.sum {
		r.answers++
		r.sum += latency
	}
}

// Refused records a request that was shed or failed.
func (r *Ramp) Refused() { r.refused++ }

// Level returns the share of the slots that may be used, greater than 0 and at
// most 1.
func (r *Ramp) Level() float64 { return 1 - r.deficit }

// Step updates the level and returns it. warm is the mean latency of warm
// servers; reported is the warmth that the server reports, 0 for cold to 1 for
// warm. Either value may be missing, stale, from the future or out of range.
// Without a warm latency the level rises in the smallest steps unless requests
// are refused; without a report it rises in small steps.
func (r *Ramp) Step(now time.Time, warm measured.Value[time.Duration], reported measured.Value[float64]) float64 {
	if r.deficit == 0 || !r.due(now) {
		return r.Level()
	}
	warmth, known := warmthOf(now, reported)
	level := r.Level() * r.factor(now, warm, known)
	if known {
		level = min(level, warmth+reportMargin)
	}
	r.stepped, r.answers, r.refused, r.sum = now, 0, 0, 0
	switch {
	case level >= 1, now.Sub(r.started) >= MaxDuration:
		r.deficit = 0
	default:
		r.deficit = 1 - max(level, leastLevel)
	}
	return r.Level()
}

// Slots returns the number of a server's slots that may be used at a level. It
// is at least 1 if the server has slots.
func Slots(level float64, slots int) int {
	if !(level > 0) {
		return min(1, slots)
	}
	return min(max(int(math.Ceil(level*float64(slots))), 1), slots)
}

// due reports whether there is enough data for the next step.
func (r *Ramp) due(now time.Time) bool {
	since := now.Sub(r.stepped)
	switch {
	case now.Sub(r.started) >= MaxDuration:
		return true
	case r.refused > 0 || r.answers >= minAnswers:
		return since >= minStepInterval
	default:
		return r.answers > 0 && since >= sparseStepInterval
	}
}

func (r *Ramp) factor(now time.Time, warm measured.Value[time.Duration], reports bool) float64 {
	if r.refused > 0 {
		return stepDown
	}
	baseline, state := warm.Read(now, MaxLatencyAge)
	if state != measured.Fresh || baseline <= 0 || baseline > time.Hour {
		return minimalStep
	}
	mean := float64(r.sum) / float64(max(r.answers, 1)) / float64(baseline)
	switch {
	case mean > stepDownFactor:
		return stepDown
	case mean > holdFactor:
		return 1
	case reports:
		return largeStep
	default:
		return smallStep
	}
}

func warmthOf(now time.Time, v measured.Value[float64]) (float64, bool) {
	warmth, state := v.Read(now, MaxReportAge)
	if state != measured.Fresh || !(warmth >= 0 && warmth <= 1) {
		return 0, false
	}
	return warmth, true
}
