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

// permit is an inner permit whose first outcome goes to its server's opinion.
type permit struct {
	admission.Permit
	server *server
	once   sync.Once
}

var _ admission.Admitter = (*Router)(nil)

// Admit implements admission.Admitter: a permit of Inner for a server that may
// get requests when the permit is there. If the only servers left are such that
// a trial runs on, those that nothing speaks against get the request all the
// same: after a pause without any news, or at the start, all servers are such.
func (r *Router) Admit(ctx context.Context, req *admission.Request) (admission.Permit, error) {
	p, err := r.admit(ctx, req, false)
	var refused *admission.RefusedError
	if errors.As(err, &refused) && refused.Code == result.NoServer {
		return r.admit(ctx, req, true)
	}
	return p, err
}

func (r *Router) admit(ctx context.Context, req *admission.Request, lenient bool) (admission.Permit, error) {
	for {
		p, err := r.Inner.Admit(ctx, req)
		if err != nil {
			return nil, err
		}
		name := p.Server().Name
		s := r.server(req.Service.Service, name)
		if s != nil && s.begin(time.Now(), lenient) {
			return &permit{Permit: p, server: s}, nil
		}
		p.Release(admission.Outcome{Code: result.NoServer})
		if slices.Contains(req.Tried, name) {
			return nil, &admission.RefusedError{Code: result.NoServer, RetryAfter: time.Second}
		}
		req = without(req, name)
	}
}

// Release implements admission.Permit. It notes the first outcome only.
func (p *permit) Release(o admission.Outcome) {
	p.once.Do(func() { p.server.observe(time.Now(), o) })
	p.Permit.Release(o)
}

// without returns the request with one more server marked as tried.
func without(req *admission.Request, name id.Server) *admission.Request {
	out := *req
	out.Tried = append(slices.Clone(req.Tried), name)
	return &out
}
