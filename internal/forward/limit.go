package forward

import (
	"net/http"
	"time"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/upstream"
)

// invalidLimitInterval is the minimum time between two log lines about invalid limits.
const invalidLimitInterval = time.Second

// observeLimit applies the limit that an answer names. Only a signed answer without one
// ends a limit, since a refusal or a faulty answer may lack what other answers have.
func (c *call) observeLimit(m *roster.Member, ans *upstream.Answer) {
	signed := ans.Header.Get(c.h.Headers.Signature) != ""
	if c.h.Limit == nil || ans.Status == http.StatusMisdirectedRequest || !signed && ans.Header.Get(c.h.Headers.NotRun) == "" {
		return
	}
	now := time.Now()
	rate, err := c.h.Limit(ans.Header)
	switch {
	case err != nil:
		c.h.Metrics.GetOrCreateCounter(`shallotpier_invalid_limits_total`).Inc()
		last := c.h.invalidLimit.Load()
		if now.UnixNano()-last >= int64(invalidLimitInterval) && c.h.invalidLimit.CompareAndSwap(last, now.UnixNano()) {
			c.h.Log.Warn("server limit ignored", "request", c.id, "server", m.Name, "limit", m.Limit(now), "err", err)
		}
	case rate > 0 || signed:
		m.ObserveLimit(now, rate, c.id)
	}
}
