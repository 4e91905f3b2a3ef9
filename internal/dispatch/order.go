package dispatch

import "time"

// What ordered requests change of the limits. The range is wide, since a server's load and
// expected latency change from moment to moment, and requests that are refused first must leave
// room for the others. A place in the queue of a server is taken from an urgent request that
// arrives soon after.
const (
	// leastOverflow and mostOverflow are the multiples of [Limits.Overflow] from which the
	// first and the last requests in an order are refused. By default, these are loads of
	// 1.25, where all slots are busy, and 2.75. With more, fewer requests were served in
	// the model with 33 entries.
	leastOverflow = 0.5
	mostOverflow  = 1.1
	// leastAlwaysQueue is the same for the part of the time available that the first ones
	// may wait, as a multiple of [Limits.AlwaysQueueShare].
	leastAlwaysQueue = 0.5
)

// overflow returns the owner's load from which the request is refused.
func (r *Request) overflow(limits *Limits) float64 {
	if !r.Ordered {
		return limits.Overflow
	}
	return limits.Overflow * (leastOverflow + (mostOverflow-leastOverflow)*r.Draw)
}

// uniform returns a uniform random number for choices other than refusals.
func (r *Request) uniform() float64 {
	if !r.Ordered {
		return r.Draw
	}
	return r.Uniform
}

// objective returns the latency objective by which the request is queued.
func (r *Request) objective() time.Duration {
	if !r.Ordered {
		return r.Route.Objective
	}
	return r.Objective
}

// alwaysQueueShare returns the fraction of the available time within which the request is
// queued if its draw is 0.
func (r *Request) alwaysQueueShare(limits *Limits) float64 {
	if !r.Ordered {
		return limits.AlwaysQueueShare
	}
	return limits.AlwaysQueueShare * leastAlwaysQueue
}

// unordered returns the request without its place.
func (r *Request) unordered() *Request {
	out := *r
	out.Ordered, out.Draw = false, r.Uniform
	return &out
}
