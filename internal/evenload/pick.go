package evenload

import "math"

// preference is the exponent by which a lower expected time raises a server's probability.
// It is finite because all entries choose by the same reports: if all of them chose the best
// server, it would be the busiest one a moment later.
const preference = 3

// Candidate is what the choice between the owners of an object depends on.
type Candidate struct {
	// Requests is the estimated number of requests at the server.
	Requests float64
	// Slots is the number of requests that it runs concurrently.
	Slots float64
	// Pace is the expected duration of work there as a multiple of the usual one.
	Pace float64
}

// Time returns the expected time that one more request takes, as a multiple of the usual
// work.
func (c *Candidate) Time() float64 {
	return c.Pace * max((c.Requests+1)/c.Slots, 1)
}

// Pick returns the index of one of the candidates, which must not be empty. The draw is a
// uniform random number, 0 to 1.
func Pick(candidates []Candidate, draw float64) int {
	sum := 0.0
	weights := make([]float64, len(candidates))
	for i := range candidates {
		weights[i] = math.Pow(candidates[i].Time(), -preference)
		sum += weights[i]
	}
	for i, w := range weights {
		if draw -= w / sum; draw < 0 {
			return i
		}
	}
	return len(candidates) - 1
}
