package route_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/pkg/id"
)

func TestMatchByHostAndLongestPrefix(t *testing.T) {
	table := route.NewTable([]*route.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "x", Host: "A.example", Prefix: "/x/"},
	})
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":    {"a.example", "/x/y/z", "deep"},
		"shorter prefix":    {"a.example", "/x/z", "x"},
		"prefix by segment": {"a.example", "/xy", "all"},
		"port and case":     {"A.EXAMPLE:8080", "/x/1", "x"},
		"unknown host":      {"b.example", "/x/1", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := table.Match(tt.host, tt.path); r != nil {
				got = r.Name
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := route.Route{Parts: []route.Part{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	got := map[id.Service]int{}
	for draw := range uint64(1000) {
		got[r.Pick(draw)]++
	}
	is.Equal(got, map[id.Service]int{"a": 900, "b": 100})
	is.Equal((&route.Route{}).Pick(1), id.Service(""))
}
