package holder_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/internal/slots/holder"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const lifetime = 2 * time.Second

func newHolder() (*holder.Holder, *gate.Gate) {
	g := new(gate.Gate)
	h := &holder.Holder{
		Bucket:   wire.Bucket{Service: "registry", Zone: "z-1"},
		Lifetime: lifetime,
		Gate:     func(id.Server) *gate.Gate { return g },
	}
	h.Configure([]id.Server{"a"})
	return h, g
}

func grant(term id.Term, seq, given uint64, accepted int) *wire.Grant {
	return &wire.Grant{
		Bucket: wire.Bucket{Service: "registry", Zone: "z-1"}, Term: term, Seq: seq,
		Servers: []wire.Given{{Server: "a", Given: given, Accepted: accepted}},
	}
}

func TestHolderEndFollowsAnswersAndConfirmations(t *testing.T) {
	tests := map[string]struct {
		do   func(*holder.Holder)
		want time.Duration
	}{
		"no answer": {do: func(*holder.Holder) {}},
		"answer counts from the report": {
			do:   func(h *holder.Holder) { h.Grant(grant(1, 1, 1, 0), 900*time.Millisecond) },
			want: 100*time.Millisecond + lifetime,
		},
		"pushed grant":   {do: func(h *holder.Holder) { h.Grant(grant(1, 0, 1, 0), 0) }},
		"unknown answer": {do: func(h *holder.Holder) { h.Grant(grant(1, 7, 1, 0), 0) }},
		"later term":     {do: func(h *holder.Holder) { h.Grant(grant(2, 1, 1, 0), 0) }},
		"confirmed": {
			do: func(h *holder.Holder) {
				h.Grant(grant(1, 1, 1, 0), 0)
				h.Confirm(1, time.Second)
			},
			want: time.Second + lifetime,
		},
		"other confirmed": {
			do: func(h *holder.Holder) {
				h.Grant(grant(1, 1, 1, 0), 0)
				h.Confirm(2, time.Second)
			},
			want: 100*time.Millisecond + lifetime,
		},
		"confirmed, claim unanswered": {do: func(h *holder.Holder) { h.Confirm(1, time.Second) }},
		"confirmed earlier": {
			do: func(h *holder.Holder) {
				h.Grant(grant(1, 1, 1, 0), 0)
				h.Confirm(1, 0)
			},
			want: 100*time.Millisecond + lifetime,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, g := newHolder()
			h.SetTerm(1, 0)
			h.Report(100*time.Millisecond, 1, 0)
			tt.do(h)
			is.Equal(h.End(), tt.want)
			is.Equal(g.End(), tt.want)
		})
	}
}

func TestHolderCountsRepeatedGrantsOnce(t *testing.T) {
	is := is.New(t)
	h, g := newHolder()
	h.SetTerm(1, 0)
	h.Report(0, 3, 0)
	h.Grant(grant(1, 1, 3, 0), 0)
	h.Grant(grant(1, 1, 3, 0), 0)
	h.Grant(grant(1, 0, 2, 0), 0)
	limit, used := h.Counts()
	is.Equal(limit, 3)
	is.Equal(used, 0)
	is.True(g.Acquire(time.Second))
	is.Equal(h.Return(5), 2)
	r := h.Report(0, 0, 0)
	is.Equal(r.Servers[0], wire.Held{Server: "a", Seen: 3, Returned: 2, Used: 1})
	is.True(!g.Acquire(time.Second))
}

func TestHolderSetTermClaimsSlotsOfTheOldTerm(t *testing.T) {
	tests := map[string]struct {
		now      time.Duration
		accepted int
		claim    int
		limit    int
	}{
		"valid, accepted":         {accepted: 3, claim: 3, limit: 3},
		"valid, accepted in part": {accepted: 2, claim: 3, limit: 2},
		"valid, refused":          {claim: 3},
		"expired, in use only":    {now: lifetime, accepted: 1, claim: 1, limit: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, g := newHolder()
			h.SetTerm(1, 0)
			h.Report(0, 3, 0)
			h.Grant(grant(1, 1, 3, 0), 0)
			is.True(g.Acquire(0))
			h.SetTerm(2, tt.now)
			is.Equal(h.Return(3), 0) // nothing is returned before the claim is settled
			h.Grant(grant(1, 0, 6, 0), tt.now)
			r := h.Report(tt.now, 0, 0)
			is.Equal(r.Servers[0].Claimed, tt.claim)
			is.Equal(h.End(), lifetime) // a claim alone does not extend the end
			h.Grant(grant(2, r.Seq, 0, tt.accepted), tt.now)
			limit, _ := h.Counts()
			is.Equal(limit, tt.limit)
			is.Equal(h.End(), tt.now+lifetime)
		})
	}
}

func TestHolderDropsClaimOnUnknownServer(t *testing.T) {
	is := is.New(t)
	h, _ := newHolder()
	h.Configure([]id.Server{"a"})
	h.SetTerm(1, 0)
	h.Report(0, 3, 0)
	h.Grant(grant(1, 1, 3, 0), 0)
	h.SetTerm(2, 0)
	r := h.Report(0, 0, 0)
	other := grant(2, r.Seq, 0, 0)
	other.Servers[0].Server = "b"
	h.Grant(other, 0)
	limit, _ := h.Counts()
	is.Equal(limit, 0)
}
