package forward

import (
	"github.com/shallotpier/shallotpier/internal/outlier"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// baselineKey identifies a group of requests that share a latency baseline.
type baselineKey struct {
	service id.Service
	kind    service.Kind
}

func (h *Handler) baseline(svc id.Service, kind service.Kind) *outlier.Baseline {
	key := baselineKey{svc, kind}
	v, ok := h.baselines.Load(key)
	if !ok {
		v, _ = h.baselines.LoadOrStore(key, &outlier.Baseline{})
	}
	if b, ok := v.(*outlier.Baseline); ok {
		return b
	}
	return &outlier.Baseline{}
}
