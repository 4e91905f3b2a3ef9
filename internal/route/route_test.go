package route_test

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Guards, among the rest, against a path whose encoded slash selects the route of another
// service: a segment that contains a slash isn't two segments.
func TestMatchByHostAndLongestPrefix(t *testing.T) {
	table := route.NewTable([]*route.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "x", Host: "A.example", Prefix: "/x/"},
		{Name: "space", Host: "a.example", Prefix: "/a b/"},
		{Name: "encoded", Host: "a.example", Prefix: "/c%20d/"},
		{Name: "slash", Host: "a.example", Prefix: "/e%2ff/"},
		{Name: "percent", Host: "a.example", Prefix: "/g%252Fh/"},
	})
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":    {"a.example", "/x/y/z", "deep"},
		"shorter prefix":    {"a.example", "/x/z", "x"},
		"prefix by segment": {"a.example", "/xy", "all"},
		"port and case":     {"A.EXAMPLE:8080", "/x/1", "x"},
		"unknown host":      {"b.example", "/x/1", ""},

		"encoded slash ends no prefix":   {"a.example", "/x%2F1", "all"},
		"in lower case":                  {"a.example", "/x%2f1", "all"},
		"encoded slash ends no segment":  {"a.example", "/x/y%2Fz", "x"},
		"encoded slash behind a prefix":  {"a.example", "/x/1%2F2", "x"},
		"encoded letter":                 {"a.example", "/%78/1", "x"},
		"encoded space":                  {"a.example", "/a%20b/1", "space"},
		"encoded prefix":                 {"a.example", "/c%20d/1", "encoded"},
		"encoded slash in a prefix":      {"a.example", "/e%2Ff/1", "slash"},
		"slash for an encoded one":       {"a.example", "/e/f/1", "all"},
		"encoded percent sign":           {"a.example", "/g%252Fh/1", "percent"},
		"encoded slash for that":         {"a.example", "/g%2Fh/1", "all"},
		"percent sign alone":             {"a.example", "/x/%", "x"},
		"percent sign and no hex digits": {"a.example", "/x/%zz", "x"},
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

// Guards against a match that differs from the definition: the longest prefix of the path among
// the routes of the host, whatever the prefixes' form.
func TestMatchFollowsItsDefinition(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(59, 1))
	text := func(parts int) string {
		var b strings.Builder
		for range rng.IntN(parts + 1) {
			b.WriteString([]string{"/", "/", "a", "b", "ab", "%2F", "%61"}[rng.IntN(7)])
		}
		return b.String()
	}
	decode := strings.NewReplacer("%61", "a").Replace
	for range 20_000 {
		var routes []*route.Route
		known := map[string]bool{}
		for range rng.IntN(8) {
			prefix := text(5)
			if prefix == "" || known[decode(prefix)] {
				continue
			}
			known[decode(prefix)] = true
			routes = append(routes, &route.Route{Name: prefix, Host: "a.example", Prefix: prefix})
		}
		path := text(8)
		var want *route.Route
		for _, r := range routes {
			longer := want == nil || len(decode(r.Prefix)) > len(decode(want.Prefix))
			if strings.HasPrefix(decode(path), decode(r.Prefix)) && longer {
				want = r
			}
		}
		got := route.NewTable(routes).Match("a.example", path)
		if got != want {
			t.Logf("path %q, got %v, want %v", path, got, want)
		}
		is.True(got == want)
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
