package forward

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	// maxOrganisationLabels limits the organisations that have time series of their own.
	maxOrganisationLabels = 50
	// otherOrganisations is the label of the others together.
	otherOrganisations = "other"
)

// organisationLabels are the label values of the organisations that were seen first.
type organisationLabels struct {
	labels sync.Map // id.Organisation to string
	count  atomic.Int64
	mu     sync.Mutex // protects additions
}

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
	if problem := c.caller.problem; problem != "" {
		h.Metrics.GetOrCreateCounter(fmt.Sprintf(`shallotpier_keys_rejected_total{problem=%q}`, problem)).Inc()
	}
	if o := c.caller.organisation; o != nil {
		label := h.organisations.label(o.Name)
		h.Metrics.GetOrCreateCounter(fmt.Sprintf(`shallotpier_organisation_requests_total{organisation="%s",code="%d"}`, label, int(c.code))).Inc()
		if c.code == result.Served {
			h.Metrics.GetOrCreateHistogram(`shallotpier_organisation_latency_seconds{organisation="` + label + `"}`).Update(took.Seconds())
		}
	}
}

// label returns the value of the metrics' label for an organisation.
func (l *organisationLabels) label(name id.Organisation) string {
	if v, ok := l.labels.Load(name); ok {
		if label, ok := v.(string); ok {
			return label
		}
	}
	if l.count.Load() >= maxOrganisationLabels {
		return otherOrganisations
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.labels.Load(name); !ok {
		if l.count.Load() >= maxOrganisationLabels {
			return otherOrganisations
		}
		l.count.Add(1)
	}
	label := strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(string(name))
	l.labels.Store(name, label)
	return label
}
