package steered_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/admission/steered"
	"github.com/shallotpier/shallotpier/internal/link"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

type (
	// slots grants a slot of the first server that hasn't been tried.
	slots struct{ held, released int }

	slot struct {
		slots  *slots
		server *service.Server
	}

	fixed bool
)

func (s *slots) Admit(_ context.Context, req *admission.Request) (admission.Permit, error) {
	for i := range req.Service.Servers {
		if b := &req.Service.Servers[i]; !slices.Contains(req.Tried, b.Name) {
			s.held++
			return &slot{s, b}, nil
		}
	}
	return nil, &admission.RefusedError{Code: result.NoServer, RetryAfter: time.Second}
}

func (s *slot) Server() *service.Server { return s.server }

func (s *slot) Release(admission.Outcome) { s.slots.released++ }

func (f fixed) Admit(time.Time) (bool, time.Duration) { return bool(f), 3 * time.Second }

func TestAdmitChargesCapAndLink(t *testing.T) {
	file := &service.File{Service: "vault", Servers: []service.Server{
		{Name: "near", Zone: "a1"}, {Name: "near-2", Zone: "a2"}, {Name: "far", Zone: "b1"},
	}}
	upload := &service.Class{Kind: service.Upload, BodyLimit: unit.GiB}
	read := &service.Class{Kind: service.Read}
	tests := map[string]struct {
		class    *service.Class
		body     unit.Bytes
		capped   []id.Region
		rate     unit.Bytes
		want     id.Server
		code     result.Code
		released int
		paced    bool
	}{
		"own region":                                  {class: read, want: "near"},
		"own region is not charged to a link":         {class: upload, body: unit.GiB, want: "near"},
		"own region capped, other region":             {class: read, capped: []id.Region{"a"}, rate: unit.MiB, want: "far", released: 1},
		"all capped, first region's code":             {class: read, capped: []id.Region{"a", "b"}, rate: unit.MiB, code: result.ShiftCapped, released: 2},
		"upload over the link is paced":               {class: upload, body: unit.MiB, capped: []id.Region{"a"}, rate: unit.MiB, want: "far", released: 1, paced: true},
		"upload too large for the link":               {class: upload, body: unit.GiB, capped: []id.Region{"a"}, rate: unit.MiB, code: result.ShiftCapped, released: 2},
		"large body of a write is paced":              {class: &service.Class{Kind: service.Write}, body: 256 * unit.KiB, capped: []id.Region{"a"}, rate: unit.MiB, want: "far", released: 1, paced: true},
		"undeclared size counts as the class's limit": {class: upload, body: -1, capped: []id.Region{"a"}, rate: unit.MiB, code: result.ShiftCapped, released: 2},
		"link budget of 0":                            {class: read, capped: []id.Region{"a"}, code: result.ShiftCapped, released: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner := new(slots)
			budget := new(link.Budget)
			budget.SetRate(tt.rate, 1)
			a := steered.Admitter{
				Inner: inner, Self: "a",
				Region: func(z id.Zone) (id.Region, bool) { return id.Region(z[:1]), true },
				Cap: func(_ id.Service, r id.Region) steered.Cap {
					return fixed(!slices.Contains(tt.capped, r))
				},
				Link: func(id.Region) *link.Budget { return budget },
			}
			req := &admission.Request{Service: file, Class: tt.class, BodySize: tt.body, Deadline: time.Now().Add(time.Minute)}
			p, err := a.Admit(context.Background(), req)
			is.Equal(inner.released, tt.released) // refusals keep no slot
			is.Equal(len(req.Tried), 0)           // the request passed in is unchanged
			if tt.code != 0 {
				var refused *admission.RefusedError
				is.True(errors.As(err, &refused))
				is.Equal(refused.Code, tt.code)
				is.Equal(refused.RetryAfter, 3*time.Second)
				return
			}
			is.NoErr(err)
			is.Equal(p.Server().Name, tt.want)
			_, paced := p.(admission.Paced)
			is.Equal(paced, tt.paced)
		})
	}
}

func TestReleaseReturnsLinkReservation(t *testing.T) {
	is := is.New(t)
	budget := new(link.Budget)
	budget.SetRate(unit.MiB, 1)
	a := steered.Admitter{
		Inner: new(slots), Self: "a",
		Region: func(id.Zone) (id.Region, bool) { return "b", true },
		Cap:    func(id.Service, id.Region) steered.Cap { return nil },
		Link:   func(id.Region) *link.Budget { return budget },
	}
	file := &service.File{Service: "vault", Servers: []service.Server{{Name: "far", Zone: "b1"}}}
	req := &admission.Request{Service: file, Class: &service.Class{Kind: service.Upload}, BodySize: 40 * unit.MiB, Deadline: time.Now().Add(time.Minute)}
	first, err := a.Admit(context.Background(), req)
	is.NoErr(err)
	_, err = a.Admit(context.Background(), req)
	is.True(err != nil) // the budget doesn't fit two bodies
	first.Release(admission.Outcome{})
	first.Release(admission.Outcome{})
	_, err = a.Admit(context.Background(), req)
	is.NoErr(err)
}
