package model

import (
	"math"
	"math/rand/v2"
	"time"
)

type (
	// Pace describes how the duration of work on a server changes.
	Pace struct {
		// Spread is the standard deviation of the logarithm of the servers' means.
		Spread float64
		// Swing is the standard deviation of the logarithm of a server's pace about
		// its mean.
		Swing float64
		// Period is the mean time between two changes of a server's pace; 0 means that
		// the servers have the usual pace and don't report it.
		Period time.Duration
	}

	// machine is the pace of one server over time, generated as far as needed. It has a
	// random number generator of its own, so that all policies see the same paces.
	machine struct {
		pace    Pace
		rng     *rand.Rand
		mean    float64
		current float64
		end     time.Time // of the current pace
		later   []stretch // paces after the current one
	}

	stretch struct {
		until time.Time
		pace  float64
	}
)

func newMachine(m *Model, i int) machine {
	rng := rand.New(rand.NewPCG(m.Seed, 1000+uint64(i)))
	return machine{pace: m.Service.Pace, rng: rng, mean: math.Exp(m.Service.Pace.Spread * rng.NormFloat64()), end: m.start, current: 1}
}

// at returns the pace at a time that is not before that of an earlier call.
func (c *machine) at(now time.Time) float64 {
	if c.pace.Period == 0 {
		return 1
	}
	for !now.Before(c.end) {
		next := c.generate(0)
		c.current, c.end = next.pace, next.until
		c.later = c.later[1:]
	}
	return c.current
}

// generate returns the i-th stretch after the current one.
func (c *machine) generate(i int) stretch {
	for len(c.later) <= i {
		from := c.end
		if n := len(c.later); n > 0 {
			from = c.later[n-1].until
		}
		length := time.Duration(c.rng.ExpFloat64() * float64(c.pace.Period))
		c.later = append(c.later, stretch{from.Add(length), c.mean * math.Exp(c.pace.Swing*c.rng.NormFloat64())})
	}
	return c.later[i]
}

// duration returns how long work of a usual duration takes from now on.
func (c *machine) duration(now time.Time, work time.Duration) time.Duration {
	if c.pace.Period == 0 {
		return work
	}
	p, from, until := c.at(now), now, c.end
	for i := 0; ; i++ {
		possible := time.Duration(float64(until.Sub(from)) / p)
		if possible >= work {
			return from.Sub(now) + time.Duration(float64(work)*p)
		}
		work -= possible
		s := c.generate(i)
		p, from, until = s.pace, until, s.until
	}
}
