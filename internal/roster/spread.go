package roster

import (
	"math"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Spread tells how evenly the load of a service is spread over its servers, by the estimates
// that this entry decides on.
type Spread struct {
	// Busiest is the load of the busiest server as a multiple of the mean.
	Busiest float64
	// Variation is the coefficient of variation of the servers' loads.
	Variation float64
	// Slowest is the greatest mean pace of a server, 1 as usual.
	Slowest float64
}

// Spread returns how evenly the load of a service is spread, with zeros for one without load.
func (v *View) Spread(now time.Time, svc id.Service) Spread {
	members := v.Members(svc)
	var out Spread
	sum, squares, most := 0.0, 0.0, 0.0
	for _, m := range members {
		load := m.EstimatedRequests(now) / m.Capacity(now)
		sum, squares, most = sum+load, squares+load*load, max(most, load)
		out.Slowest = max(out.Slowest, m.MeanPace(now))
	}
	if sum > 0 {
		n := float64(len(members))
		out.Busiest = most * n / sum
		out.Variation = math.Sqrt(max(squares*n/(sum*sum)-1, 0))
	}
	return out
}
