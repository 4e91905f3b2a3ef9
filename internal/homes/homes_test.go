package homes_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/homes"
	"github.com/shallotpier/shallotpier/pkg/id"
)

func TestChoosePrefersTheNearestCandidate(t *testing.T) {
	bucket := homes.Bucket{Service: "registry", Zone: "a1", Region: "a"}
	near := homes.Candidate{Instance: "near", Zone: "a1", Region: "a"}
	region := homes.Candidate{Instance: "region", Zone: "a2", Region: "a"}
	far := homes.Candidate{Instance: "far", Zone: "b1", Region: "b"}
	tests := map[string]struct {
		give []homes.Candidate
		want id.Instance
		ok   bool
	}{
		"own zone first":  {give: []homes.Candidate{far, region, near}, want: "near", ok: true},
		"then own region": {give: []homes.Candidate{far, region}, want: "region", ok: true},
		"then anywhere":   {give: []homes.Candidate{far}, want: "far", ok: true},
		"no candidates":   {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ok := homes.Choose(bucket, tt.give)
			is.Equal(ok, tt.ok)
			is.Equal(got, tt.want)
		})
	}
}

func TestChooseMovesOnlyBucketsOfTheRemovedEntry(t *testing.T) {
	is := is.New(t)
	var all []homes.Candidate
	for i := range 20 {
		all = append(all, homes.Candidate{Instance: id.Instance(fmt.Sprintf("entry-%d", i)), Zone: "a1", Region: "a"})
	}
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	rest := slices.Delete(slices.Clone(all), 3, 4)
	used := map[id.Instance]int{}
	for i := range 500 {
		b := homes.Bucket{Service: id.Service(fmt.Sprintf("service-%d", i)), Zone: "a1", Region: "a"}
		was, _ := homes.Choose(b, all)
		same, _ := homes.Choose(b, reversed)
		now, _ := homes.Choose(b, rest)
		is.Equal(was, same) // independent of the order
		is.True(was == "entry-3" || now == was)
		used[was]++
	}
	is.Equal(len(used), 20) // every entry is home of some bucket
}
