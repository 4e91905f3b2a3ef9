package share_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/share"
)

var start = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

func TestPlanAnswerInputs(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	tests := map[string]struct {
		held, demand, otherDemand float64
		late                      time.Duration
		ok                        bool
		want                      float64
	}{
		"no demand":        {held: 0.25, ok: true, want: 0.25},
		"all demand":       {held: 0.25, demand: 9, ok: true, want: 0.75},
		"equal demands":    {held: 0.25, demand: 9, otherDemand: 9, ok: true, want: 0.25},
		"NaN demand":       {held: 0.25, demand: nan, ok: true, want: 0.25},
		"negative demand":  {held: 0.25, demand: -3, ok: true, want: 0.25},
		"infinite demand":  {held: 0.25, demand: inf, ok: true, want: 0.25},
		"demand too large": {held: 0.25, demand: 1e15, ok: true, want: 0.25},
		"stale demand":     {held: 0.25, demand: 9, otherDemand: 9, late: time.Minute, ok: true, want: 0.75},
		"NaN held":         {held: nan},
		"negative held":    {held: -1},
		"infinite held":    {held: inf},
		"held above 1":     {held: 100, ok: true, want: 0.25},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := share.NewPlan(2, start.Add(-time.Minute))
			_, ok := p.Answer(start, share.Request{Holder: share.Holder{Instance: "b"}, Number: 1, Held: 0.25, Demand: tt.otherDemand})
			is.True(ok)
			now := start.Add(tt.late)
			grant, ok := p.Answer(now, share.Request{Holder: share.Holder{Instance: "a"}, Number: 1, Held: tt.held, Demand: tt.demand})
			is.Equal(ok, tt.ok)
			is.Equal(grant.Share, tt.want)
		})
	}
}

func TestNewPlanRaisesNoShareBeforeOldGrantsExpire(t *testing.T) {
	is := is.New(t)
	p := share.NewPlan(2, start)
	req := share.Request{Holder: share.Holder{Instance: "a"}, Number: 1, Held: 0.25, Demand: 9}
	grant, ok := p.Answer(start.Add(share.GrantTime), req)
	is.True(ok)
	is.Equal(grant.Share, 0.25)
	_, ok = p.Answer(start.Add(share.GrantTime), req)
	is.True(!ok) // duplicate request
	req.Number = 2
	grant, _ = p.Answer(start.Add(2*share.GrantTime), req)
	is.Equal(grant.Share, 0.75)
}

func TestPlanCountsOldShareUntilLowerOneIsConfirmed(t *testing.T) {
	is := is.New(t)
	p := share.NewPlan(2, start.Add(-time.Minute))
	a, b := share.Holder{Instance: "a"}, share.Holder{Instance: "b"}
	grant, _ := p.Answer(start, share.Request{Holder: a, Number: 1, Held: 0.25, Demand: 9})
	is.Equal(grant.Share, 0.75)
	grant, _ = p.Answer(start, share.Request{Holder: a, Number: 2, Held: 0.75}) // no demand; the response may be lost
	is.Equal(grant.Share, 0.25)
	grant, _ = p.Answer(start, share.Request{Holder: b, Number: 1, Held: 0.25, Demand: 9})
	is.Equal(grant.Share, 0.25)
	_, ok := p.Answer(start, share.Request{Holder: a, Number: 3, Held: 0.25}) // confirms the lower share
	is.True(ok)
	grant, _ = p.Answer(start, share.Request{Holder: b, Number: 2, Held: 0.25, Demand: 9})
	is.Equal(grant.Share, 0.75)
}
