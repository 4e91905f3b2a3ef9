package demand_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/slots/demand"
)

func TestPolicyWantsAndReturns(t *testing.T) {
	const near, far = time.Millisecond, 12 * time.Millisecond
	tests := map[string]struct {
		waiting int
		buckets []demand.Bucket
		wants   []int
		returns []int
	}{
		"reserve full": {
			buckets: []demand.Bucket{{Idle: 3, Spare: 9}},
			wants:   []int{0}, returns: []int{0},
		},
		"nearest spare first": {
			buckets: []demand.Bucket{{Distance: far, Spare: 9}, {Distance: near, Spare: 2}},
			wants:   []int{1, 2}, returns: []int{0, 0},
		},
		"waiting requests add to the demand": {
			waiting: 2, buckets: []demand.Bucket{{Spare: 9}},
			wants: []int{5}, returns: []int{0},
		},
		"slots asked for reduce the demand": {
			buckets: []demand.Bucket{{Asked: 2, Busy: true, Spare: 9}, {Spare: 9}},
			wants:   []int{0, 1}, returns: []int{0, 0},
		},
		"no spare slots: due reports share the demand": {
			buckets: []demand.Bucket{{Due: true}, {Due: true}, {}},
			wants:   []int{2, 1, 0}, returns: []int{0, 0, 0},
		},
		"surplus is returned to the farthest": {
			buckets: []demand.Bucket{{Distance: near, Idle: 5}, {Distance: far, Idle: 4}},
			wants:   []int{0, 0}, returns: []int{0, 3},
		},
		"nothing is returned while requests wait": {
			waiting: 3, buckets: []demand.Bucket{{Idle: 9}},
			wants: []int{0}, returns: []int{0},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := demand.Policy{Low: 3, High: 6}
			is.Equal(p.Wants(tt.waiting, tt.buckets, nil), tt.wants)
			is.Equal(p.Returns(tt.waiting, tt.buckets, nil), tt.returns)
		})
	}
}
