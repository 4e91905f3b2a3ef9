package forward

import (
	"fmt"
	"time"

	"github.com/shallotpier/shallotpier/pkg/result"
)

// observe counts a request by its kind and code. Routes are not used as labels:
// a configuration may have hundreds, which would make too many time series.
func (h *Handler) observe(c *call, took time.Duration) {
	kind := "none"
	if c.route != nil {
		kind = string(c.route.Kind)
	}
	h.Metrics.GetOrCreateCounter(fmt.Sprintf(`shallotpier_requests_total{kind=%q,code="%d"}`, kind, int(c.code))).Inc()
	if c.code == result.Served {
		h.Metrics.GetOrCreateHistogram(fmt.Sprintf(`shallotpier_latency_seconds{kind=%q}`, kind)).Update(took.Seconds())
	}
}
