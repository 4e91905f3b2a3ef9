package steered

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/link"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// smallRequest is what a request without an announced large body counts for on
// a link, its answer included.
const smallRequest = 2 * unit.KiB

type (
	// Cap limits the rise of requests toward a region.
	Cap interface {
		// Admit counts one request, or tells when to come back.
		Admit(now time.Time) (ok bool, retryAfter time.Duration)
	}

	// Admitter permits sends. Its fields must not change after the first call.
	Admitter struct {
		// Inner permits slots.
		Inner admission.Admitter
		// Self is the entry's own region.
		Self id.Region
		// Region returns the region of a zone.
		Region func(id.Zone) (id.Region, bool)
		// Cap returns the cap of a service toward a region, nil for none.
		Cap func(id.Service, id.Region) Cap
		// Link returns the budget toward another region, nil for none.
		Link func(id.Region) *link.Budget
	}

	// permit is an inner permit with the body's part of a link's budget.
	permit struct {
		admission.Permit
		body *link.Body
		once sync.Once
	}
)

var (
	_ admission.Admitter = (*Admitter)(nil)
	_ admission.Paced    = (*permit)(nil)
)

// Admit implements admission.Admitter.
func (a *Admitter) Admit(ctx context.Context, req *admission.Request) (admission.Permit, error) {
	var first *admission.RefusedError
	for {
		p, err := a.Inner.Admit(ctx, req)
		if err != nil {
			return nil, a.refusal(first, err)
		}
		region, _ := a.Region(p.Server().Zone)
		charged, refused := a.charge(time.Now(), req, region, p)
		if refused == nil {
			return charged, nil
		}
		p.Release(admission.Outcome{Code: refused.Code})
		if first == nil {
			first = refused
		}
		req = a.without(req, region)
	}
}

// charge charges the region's cap and the link's budget for the permit.
func (a *Admitter) charge(now time.Time, req *admission.Request, region id.Region, p admission.Permit) (admission.Permit, *admission.RefusedError) {
	var body *link.Body
	if budget := a.budget(region); budget != nil {
		var refused *admission.RefusedError
		if body, refused = pass(now, req, budget); refused != nil {
			return nil, refused
		}
	}
	if c := a.Cap(req.Service.Service, region); c != nil {
		if ok, after := c.Admit(now); !ok {
			if body != nil {
				body.Close()
			}
			return nil, &admission.RefusedError{Code: result.ShiftCapped, RetryAfter: after}
		}
	}
	if body == nil {
		return p, nil
	}
	return &permit{Permit: p, body: body}, nil
}

func (a *Admitter) budget(region id.Region) *link.Budget {
	if region == a.Self {
		return nil
	}
	return a.Link(region)
}

// pass admits what the request sends over a link: an upload, or a body that is
// too large to go at once, as a paced body, others at once. A body without an
// announced size counts as the largest that its class takes.
func pass(now time.Time, req *admission.Request, budget *link.Budget) (*link.Body, *admission.RefusedError) {
	size := req.Body
	if size < 0 {
		size = req.Class.BodyLimit
	}
	if req.Class.Kind == service.Upload || size+smallRequest > budget.Small() {
		body, after := budget.Admit(size+smallRequest, req.Deadline.Sub(now))
		if body == nil {
			return nil, &admission.RefusedError{Code: result.LinkFull, RetryAfter: after}
		}
		return body, nil
	}
	if !budget.Pass(now, size+smallRequest) {
		return nil, &admission.RefusedError{Code: result.LinkFull, RetryAfter: time.Second}
	}
	return nil, nil
}

// without returns the request with all servers of the region marked as tried.
func (a *Admitter) without(req *admission.Request, region id.Region) *admission.Request {
	out := *req
	out.Tried = slices.Clone(req.Tried)
	for i := range req.Service.Servers {
		s := &req.Service.Servers[i]
		if r, _ := a.Region(s.Zone); r == region {
			out.Tried = append(out.Tried, s.Name)
		}
	}
	return &out
}

// refusal returns what the caller is told: the first region's reason, unless
// the request itself is the cause.
func (a *Admitter) refusal(first *admission.RefusedError, err error) error {
	var last *admission.RefusedError
	if first == nil || (errors.As(err, &last) && last.Code == result.DeadlinePassed) {
		return err
	}
	return first
}

// Release implements admission.Permit.
func (p *permit) Release(o admission.Outcome) {
	p.once.Do(p.body.Close)
	p.Permit.Release(o)
}

// Next implements admission.Paced.
func (p *permit) Next(now time.Time, want int) (n int, wait time.Duration) {
	return p.body.Next(now, want)
}
