package routing

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// permit is a permit of Inner whose first outcome updates its server's state.
type permit struct {
	admission.Permit
	server *server
	once   sync.Once
}

var _ admission.Admitter = (*Router)(nil)

// Admit implements admission.Admitter. It returns a permit of Inner for a server
// that is eligible at the time the permit is granted. If the only remaining
// servers have a trial request running, those without evidence of a failure
// are used nevertheless: at the start, or after a pause without probes and
// reports, this is the state of all servers.
func (r *Router) Admit(ctx context.Context, req *admission.Request) (admission.Permit, error) {
	p, err := r.admit(ctx, req, false)
	var refused *admission.RefusedError
	if errors.As(err, &refused) && refused.Code == result.NoServer {
		return r.admit(ctx, req, true)
	}
	return p, err
}

func (r *Router) admit(ctx context.Context, req *admission.Request, allowUnproven bool) (admission.Permit, error) {
	for {
		p, err := r.Inner.Admit(ctx, req)
		if err != nil {
			return nil, err
		}
		name := p.Server().Name
		s := r.server(req.Service.Service, name)
		if s != nil && s.begin(time.Now(), allowUnproven) {
			return &permit{Permit: p, server: s}, nil
		}
		p.Release(admission.Outcome{Code: result.NoServer})
		if slices.Contains(req.Tried, name) {
			return nil, &admission.RefusedError{Code: result.NoServer, RetryAfter: time.Second}
		}
		req = excludeServer(req, name)
	}
}

// Release implements admission.Permit. Only the first outcome is recorded.
func (p *permit) Release(o admission.Outcome) {
	p.once.Do(func() { p.server.observe(time.Now(), o) })
	p.Permit.Release(o)
}

// excludeServer returns a copy of the request with one more server marked as tried.
func excludeServer(req *admission.Request, name id.Server) *admission.Request {
	out := *req
	out.Tried = append(slices.Clone(req.Tried), name)
	return &out
}
