package forward

import (
	"net/http"
	"time"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/upstream"
)

// invalidInterval is the minimum time between two log lines about headers of servers that
// are invalid.
const invalidInterval = time.Second

// observe applies what a server says of itself in an answer.
func (c *call) observe(m *roster.Member, ans *upstream.Answer) {
	if ans.Status == http.StatusMisdirectedRequest {
		return // from another server
	}
	c.observeLimit(m, ans)
	c.observeLeaving(m, ans.Header)
	c.observeAway(m, ans)
}

// observeLimit applies the limit that an answer names. Only a signed answer without one
// ends a limit, since a refusal or a faulty answer may lack what other answers have.
func (c *call) observeLimit(m *roster.Member, ans *upstream.Answer) {
	signed := ans.Header.Get(c.h.Headers.Signature) != ""
	if c.h.Limit == nil || !signed && ans.Header.Get(c.h.Headers.NotRun) == "" {
		return
	}
	now := time.Now()
	rate, err := c.h.Limit(ans.Header)
	switch {
	case err != nil:
		c.h.Metrics.GetOrCreateCounter(`shallotpier_invalid_limits_total`).Inc()
		c.logInvalid("server limit ignored", m, err)
	case rate > 0 || signed:
		m.ObserveLimit(now, rate, c.id)
	}
}

// observeLeaving applies an answer that says that its server is leaving.
func (c *call) observeLeaving(m *roster.Member, header http.Header) {
	if c.h.ServerLeaving == nil {
		return
	}
	leaving, err := c.h.ServerLeaving(header)
	switch {
	case err != nil:
		c.logInvalid("announcement of leaving ignored", m, err)
	case leaving:
		c.h.Dispatcher.Roster.ObserveLeaving(m, c.id)
	}
}

// observeAway applies an answer that turns the request away and names a time for which the
// server wants no others.
func (c *call) observeAway(m *roster.Member, ans *upstream.Answer) {
	if c.h.StayAway == nil || ans.Status != http.StatusServiceUnavailable {
		return
	}
	away, err := c.h.StayAway(ans.Header)
	switch {
	case err != nil:
		c.logInvalid("time to stay away ignored", m, err)
	case away > 0:
		c.h.Metrics.GetOrCreateCounter(`shallotpier_server_retry_after_total`).Inc()
		c.h.Dispatcher.Roster.ObserveAway(time.Now(), m, away, c.id)
	}
}

// logInvalid logs an invalid header of a server, at a bounded rate.
func (c *call) logInvalid(message string, m *roster.Member, err error) {
	now, last := time.Now(), c.h.invalidLogged.Load()
	if now.UnixNano()-last >= int64(invalidInterval) && c.h.invalidLogged.CompareAndSwap(last, now.UnixNano()) {
		c.h.Log.Warn(message, "request", c.id, "server", m.Name, "limit", m.Limit(now), "err", err)
	}
}
