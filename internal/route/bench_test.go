package route_test

import (
	"fmt"
	"testing"

	"github.com/shallotpier/shallotpier/internal/route"
)

// BenchmarkMatch measures the match of a request among the routes of one host.
func BenchmarkMatch(b *testing.B) {
	for _, routes := range []int{10, 4200} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			var all []*route.Route
			for i := range routes {
				all = append(all, &route.Route{Host: "records.example", Prefix: fmt.Sprintf("/route-%05d/", i)})
			}
			table := route.NewTable(all)
			path := fmt.Sprintf("/route-%05d/findings/8", routes/2)
			b.ReportAllocs()
			for b.Loop() {
				if table.Match("records.example", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
