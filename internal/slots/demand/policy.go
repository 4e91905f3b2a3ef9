package demand

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultLow  = 1
	defaultHigh = 2
)

type (
	// Policy sets the reserve of idle slots of a service at one entry.
	Policy struct {
		// Low is the number of idle slots below which the entry asks for more.
		Low int
		// High is the number of idle slots above which it returns some.
		High int
	}

	// Bucket is an entry's state of one bucket of the service.
	Bucket struct {
		// Distance is the one-way network delay to the servers.
		Distance time.Duration
		// Idle is the number of slots that the entry holds and does not use.
		Idle int
		// Spare is the number of slots that no other entry used, as last
		// reported by the home.
		Spare int
		// Asked is the number of slots asked for in a report that is not
		// answered yet.
		Asked int
		// Busy means that no report may be sent now, for example because one
		// is not answered yet.
		Busy bool
		// Due means that a report is due regardless of demand.
		Due bool
	}
)

// Default returns the default reserve: one slot at least, two at most.
func Default() Policy { return Policy{Low: defaultLow, High: defaultHigh} }

// Wants returns how many slots to ask of each bucket's home, for the given number
// of waiting requests. It reuses the memory of wants.
func (p Policy) Wants(waiting int, buckets []Bucket, wants []int) []int {
	wants = slices.Grow(wants, len(buckets))[:len(buckets)]
	clear(wants)
	short := waiting + p.Low
	for i := range buckets {
		short -= buckets[i].Idle + buckets[i].Asked
	}
	order := nearest(buckets)
	for _, i := range order {
		if b := &buckets[i]; short > 0 && !b.Busy && b.Spare > 0 {
			wants[i] = min(short, b.Spare)
			short -= wants[i]
		}
	}
	due := 0
	for i := range buckets {
		if buckets[i].Due && !buckets[i].Busy {
			due++
		}
	}
	for _, i := range order {
		if b := &buckets[i]; short > 0 && b.Due && !b.Busy {
			more := (short + due - 1) / due
			wants[i] += more
			short -= more
			due--
		}
	}
	return wants
}

// Returns returns how many idle slots of each bucket to return to its home. It
// reuses the memory of returns.
func (p Policy) Returns(waiting int, buckets []Bucket, returns []int) []int {
	returns = slices.Grow(returns, len(buckets))[:len(buckets)]
	clear(returns)
	surplus := -waiting - p.High
	for i := range buckets {
		surplus += buckets[i].Idle
	}
	order := nearest(buckets)
	for _, i := range slices.Backward(order) {
		if surplus > 0 {
			returns[i] = min(surplus, buckets[i].Idle)
			surplus -= returns[i]
		}
	}
	return returns
}

// nearest returns the indexes of the buckets in order of increasing distance, then
// of decreasing spare slots.
func nearest(buckets []Bucket) []int {
	order := make([]int, len(buckets))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Or(
			cmp.Compare(buckets[i].Distance, buckets[j].Distance),
			cmp.Compare(buckets[j].Spare, buckets[i].Spare),
		)
	})
	return order
}
