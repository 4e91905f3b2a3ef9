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
	// Policy sets the reserve of a service at one entry, in slots.
	Policy struct {
		// Low is the number of idle slots below which the entry asks for more.
		Low int
		// High is the number above which it gives some back.
		High int
	}

	// Bucket is what an entry knows of one bucket of the service.
	Bucket struct {
		// Distance is the one-way delay to the servers.
		Distance time.Duration
		// Idle is the number of slots that the entry has and doesn't use.
		Idle int
		// Spare is the number of slots that nobody else used, by the home.
		Spare int
		// Asked is the number of slots asked for in a report under way.
		Asked int
		// Busy tells that a report is under way.
		Busy bool
		// Due tells that a report is due anyway.
		Due bool
	}
)

// Default returns the reserve of an entry for which nothing else is set.
func Default() Policy { return Policy{Low: defaultLow, High: defaultHigh} }

// Wants appends how many slots to ask of each bucket's home.
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

// Returns appends how many idle slots of each bucket to give back.
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

// nearest returns the indexes of the buckets by distance, then by spare slots.
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
