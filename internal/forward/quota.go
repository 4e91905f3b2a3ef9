package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

type (
	// Quota enforces the limits of organisations over all entries.
	Quota interface {
		// Take decides on a request of an organisation; it may wait.
		Take(ctx context.Context, org id.Organisation) quota.Verdict
		// Expired reports whether a request may no longer be sent with its grant.
		Expired(g quota.Grant) bool
		// Return takes back the grant of a request that has not run.
		Return(g quota.Grant)
	}

	// charge is what a request has taken of its organisation's quota.
	charge struct {
		organisation id.Organisation
		grant        quota.Grant
		taken        bool
		waited       time.Duration
	}
)

// charged takes a token of the organisation's quota, unless the request has one that has not
// expired. It returns 0 or the code of the refusal. A request that another entry has passed on
// has been charged there.
func (c *call) charged() result.Code {
	h, q := c.h, &c.quota
	org := c.caller.organisation
	if h.Quota == nil || org == nil || c.origin != nil || q.taken && !h.Quota.Expired(q.grant) {
		return 0
	}
	q.organisation = org.Name
	begin := time.Now()
	v := h.Quota.Take(c.ctx, q.organisation)
	q.waited += time.Since(begin)
	code := quotaCode(v.Outcome)
	h.countQuota(v.Outcome)
	if code != 0 {
		q.taken, q.grant = false, quota.Grant{}
		if ended, ok := c.expired(); ok && v.Outcome == quota.Unavailable {
			return ended // which has ended the wait
		}
		// A quarter as much again spreads the callers that different entries refuse.
		c.retryDelay = v.RetryAfter + time.Duration(rand.Float64()*float64(v.RetryAfter)/4)
		return code
	}
	q.taken, q.grant = true, v.Grant
	return 0
}

// uncharge takes back the grant of a request that has certainly not run.
func (c *call) uncharge() {
	if c.quota.taken && c.code.Ran() == result.No && !c.mayHaveRun {
		c.h.Quota.Return(c.quota.grant)
		c.quota.taken = false
	}
}

// quotaCode returns the code of the refusal of a request, 0 for none.
func quotaCode(o quota.Outcome) result.Code {
	switch o {
	case quota.Granted:
		return 0
	case quota.Exceeded:
		return result.QuotaExceeded
	default:
		return result.QuotaUnavailable
	}
}

func (h *Handler) countQuota(o quota.Outcome) {
	switch o {
	case quota.Granted:
		h.Metrics.GetOrCreateCounter(`shallotpier_quota_requests_total{verdict="granted"}`).Inc()
	case quota.Exceeded:
		h.Metrics.GetOrCreateCounter(`shallotpier_quota_requests_total{verdict="exceeded"}`).Inc()
	default:
		h.Metrics.GetOrCreateCounter(`shallotpier_quota_requests_total{verdict="unavailable"}`).Inc()
	}
}
