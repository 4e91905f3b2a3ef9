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

// requestOverhead is the number of bytes that a request and its response are
// charged on a link, in addition to the request body.
const requestOverhead = 2 * unit.KiB

type (
	// Cap limits how fast the request rate toward a region may rise.
	Cap interface {
		// Admit counts one request, or refuses it and returns the time after
		// which to retry.
		Admit(now time.Time) (ok bool, retryAfter time.Duration)
	}

	// Admitter admits requests within slots, shift caps and link budgets. Its
	// fields must not change after the first call.
	Admitter struct {
		// Inner grants the slots.
		Inner admission.Admitter
		// Self is the entry's own region.
		Self id.Region
		// Region returns the region of a zone.
		Region func(id.Zone) (id.Region, bool)
		// Cap returns the shift cap of a service toward a region, nil for none.
		Cap func(id.Service, id.Region) Cap
		// Link returns the budget toward another region, nil for none.
		Link func(id.Region) *link.Budget
	}

	// permit is a permit of Inner with the body's reservation of a link budget.
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
		req = a.excludeRegion(req, region)
	}
}

// charge charges the link's budget and the region's shift cap for a permit.
func (a *Admitter) charge(now time.Time, req *admission.Request, region id.Region, p admission.Permit) (admission.Permit, *admission.RefusedError) {
	var body *link.Body
	if budget := a.budget(region); budget != nil {
		var refused *admission.RefusedError
		if body, refused = chargeLink(now, req, budget); refused != nil {
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

// chargeLink charges a request to a link's budget. An upload, or a body that is
// too large to be sent without pacing, is admitted as a paced body. Other
// requests are charged as small ones, with a nil body. A body without a declared
// size counts as the largest that its class allows.
func chargeLink(now time.Time, req *admission.Request, budget *link.Budget) (*link.Body, *admission.RefusedError) {
	size := req.BodySize
	if size < 0 {
		size = req.Class.BodyLimit
	}
	if req.Class.Kind == service.Upload || size+requestOverhead > budget.MaxSmall() {
		body, after := budget.Admit(size+requestOverhead, req.Deadline.Sub(now))
		if body == nil {
			return nil, &admission.RefusedError{Code: result.LinkFull, RetryAfter: after}
		}
		return body, nil
	}
	if !budget.AdmitSmall(now, size+requestOverhead) {
		return nil, &admission.RefusedError{Code: result.LinkFull, RetryAfter: time.Second}
	}
	return nil, nil
}

// excludeRegion returns a copy of the request with all servers of the region
// marked as tried.
func (a *Admitter) excludeRegion(req *admission.Request, region id.Region) *admission.Request {
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

// refusal returns the error for the caller: the refusal of the first region,
// unless the deadline of the request has passed.
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
