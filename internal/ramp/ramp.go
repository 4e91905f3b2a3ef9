package ramp

import (
	"math"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
)

const (
	// Longest is how long a ramp lasts at most.
	Longest = 10 * time.Minute
	// ReportAge is the greatest age of a reported warmth that counts.
	ReportAge = 15 * time.Second
	// LatencyAge is the greatest age of a warm latency that counts.
	LatencyAge = time.Minute

	firstLevel = 1.0 / 8
	leastLevel = 1.0 / 16
	largeStep  = 1.5
	smallStep  = 1.2
	blindStep  = 1.1
	stepBack   = 0.7
	// asFast and tooSlow are multiples of the warm latency.
	asFast  = 1.5
	tooSlow = 3.0
	// reportRoom is how far the level may be over the reported warmth.
	reportRoom = 0.25
	minAnswers = 8
	stepTime   = time.Second
	longStep   = 5 * time.Second
)

// Ramp is the slow start of one server or region. The zero Ramp is warm. It is
// not safe for concurrent use.
type Ramp struct {
	lack    float64 // 1 less the level
	started time.Time
	stepped time.Time
	answers int
	refused int
	sum     time.Duration
}

// Start makes the ramp cold.
func (r *Ramp) Start(now time.Time) {
	*r = Ramp{lack: 1 - firstLevel, started: now, stepped: now}
}

// Answered takes the latency of one answer. Negative ones are left out.
func (r *Ramp) Answered(latency time.Duration) {
	if latency >= 0 && latency < math.MaxInt64-r.sum {
		r.answers++
		r.sum += latency
	}
}

// Refused takes a request that was shed or failed.
func (r *Ramp) Refused() { r.refused++ }

// Level returns the part of the slots that may be used, above 0 to 1.
func (r *Ramp) Level() float64 { return 1 - r.lack }

// Step moves the level on and returns it. Warm is the mean latency of warm
// servers; reported is the server's own word, 0 for cold to 1 for warm. Each
// may be missing, stale, from the future or impossible: without a warm latency
// the level rises in the smallest steps while nothing is refused, without a
// report in small ones.
func (r *Ramp) Step(now time.Time, warm measured.Value[time.Duration], reported measured.Value[float64]) float64 {
	if r.lack == 0 || !r.due(now) {
		return r.Level()
	}
	warmth, known := warmthOf(now, reported)
	level := r.Level() * r.factor(now, warm, known)
	if known {
		level = min(level, warmth+reportRoom)
	}
	r.stepped, r.answers, r.refused, r.sum = now, 0, 0, 0
	switch {
	case level >= 1, now.Sub(r.started) >= Longest:
		r.lack = 0
	default:
		r.lack = 1 - max(level, leastLevel)
	}
	return r.Level()
}

// Slots returns how many of a server's slots may be used at a level, at least
// one.
func Slots(level float64, slots int) int {
	if !(level > 0) {
		return min(1, slots)
	}
	return min(max(int(math.Ceil(level*float64(slots))), 1), slots)
}

// due tells whether enough was seen since the last step.
func (r *Ramp) due(now time.Time) bool {
	since := now.Sub(r.stepped)
	switch {
	case now.Sub(r.started) >= Longest:
		return true
	case r.refused > 0 || r.answers >= minAnswers:
		return since >= stepTime
	default:
		return r.answers > 0 && since >= longStep
	}
}

func (r *Ramp) factor(now time.Time, warm measured.Value[time.Duration], reports bool) float64 {
	if r.refused > 0 {
		return stepBack
	}
	usual, state := warm.Read(now, LatencyAge)
	if state != measured.Fresh || usual <= 0 || usual > time.Hour {
		return blindStep
	}
	mean := float64(r.sum) / float64(max(r.answers, 1)) / float64(usual)
	switch {
	case mean > tooSlow:
		return stepBack
	case mean > asFast:
		return 1
	case reports:
		return largeStep
	default:
		return smallStep
	}
}

func warmthOf(now time.Time, v measured.Value[float64]) (float64, bool) {
	warmth, state := v.Read(now, ReportAge)
	if state != measured.Fresh || !(warmth >= 0 && warmth <= 1) {
		return 0, false
	}
	return warmth, true
}
