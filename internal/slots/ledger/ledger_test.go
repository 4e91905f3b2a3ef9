package ledger_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/slots/ledger"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	lifetime       = 2 * time.Second
	maxRequestTime = 5 * time.Second
	forever        = time.Hour
)

func newLedger(term id.Term, slots int) *ledger.Ledger {
	l := &ledger.Ledger{Bucket: bucket(), Lifetime: lifetime, MaxRequestTime: maxRequestTime, ReportTimeout: lifetime}
	l.Configure([]ledger.Slots{{Server: "a", Slots: slots, Ceiling: slots}}, 0)
	l.Begin(term, 0)
	l.SetAuthority(forever)
	return l
}

func sender(name id.Instance) peer.Sender { return peer.Sender{Instance: name, Incarnation: 1} }

func report(term id.Term, seq uint64, want int, held wire.Held) *wire.Report {
	held.Server = "a"
	return &wire.Report{Bucket: bucket(), Term: term, Seq: seq, Want: want, Servers: []wire.Held{held}}
}

func given(t *testing.T, g wire.Grant, err error) wire.Given {
	t.Helper()
	if err != nil || len(g.Servers) != 1 {
		t.Fatalf("grant %+v, error %v", g, err)
	}
	return g.Servers[0]
}

func TestLedgerReportGrants(t *testing.T) {
	tests := map[string]struct {
		term  id.Term
		claim int
		want  int
		now   time.Duration
		give  wire.Given
	}{
		"first home grants at once":        {term: 1, want: 9, give: wire.Given{Server: "a", Given: 6}},
		"new home grants nothing at first": {term: 2, want: 2, give: wire.Given{Server: "a"}},
		"new home just before expiry":      {term: 2, want: 2, now: lifetime + maxRequestTime - 1, give: wire.Given{Server: "a"}},
		"new home after expiry":            {term: 2, want: 2, now: lifetime + maxRequestTime, give: wire.Given{Server: "a", Given: 2}},
		"new home accepts a claim":         {term: 2, claim: 4, want: 1, give: wire.Given{Server: "a", Accepted: 4}},
		"claims stay within the slots":     {term: 2, claim: 9, give: wire.Given{Server: "a", Accepted: 6}},
		"late claim of free slots":         {term: 2, claim: 4, now: lifetime + maxRequestTime, give: wire.Given{Server: "a", Accepted: 4}},
		"claim and a grant of the rest":    {term: 2, claim: 4, want: 5, now: lifetime + maxRequestTime, give: wire.Given{Server: "a", Accepted: 4, Given: 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLedger(tt.term, 6)
			g, err := l.Report(sender("e-1"), report(tt.term, 1, tt.want, wire.Held{Claimed: tt.claim}), tt.now)
			is.Equal(given(t, g, err), tt.give)
		})
	}
}

func TestLedgerRefusesReports(t *testing.T) {
	tests := map[string]struct {
		from   peer.Sender
		report *wire.Report
		now    time.Duration
		want   error
	}{
		"no authority":        {from: sender("e-1"), report: report(2, 2, 0, wire.Held{}), now: forever, want: ledger.ErrNotHome},
		"later term":          {from: sender("e-1"), report: report(3, 2, 0, wire.Held{}), want: ledger.ErrNotHome},
		"other bucket":        {from: sender("e-1"), report: &wire.Report{Term: 2, Seq: 2}, want: ledger.ErrNotHome},
		"earlier incarnation": {from: peer.Sender{Instance: "e-1"}, report: report(2, 2, 0, wire.Held{}), want: ledger.ErrReplaced},
		"returned too many":   {from: sender("e-1"), report: report(2, 2, 0, wire.Held{Returned: 1}), want: ledger.ErrInconsistent},
		"seen too many":       {from: sender("e-1"), report: report(2, 2, 0, wire.Held{Seen: 1}), want: ledger.ErrInconsistent},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLedger(2, 6)
			_, err := l.Report(sender("e-1"), report(2, 1, 0, wire.Held{}), 0)
			is.NoErr(err)
			_, err = l.Report(tt.from, tt.report, tt.now)
			is.True(errors.Is(err, tt.want))
		})
	}
}

func TestLedgerAppliesRepeatedReportsOnce(t *testing.T) {
	is := is.New(t)
	l := newLedger(1, 6)
	first := report(1, 1, 2, wire.Held{})
	for range 3 {
		g, err := l.Report(sender("e-1"), first, 0)
		is.Equal(given(t, g, err).Given, uint64(2))
	}
	g, err := l.Report(sender("e-1"), report(1, 2, 2, wire.Held{}), 0)
	is.Equal(given(t, g, err).Given, uint64(2)) // the two granted are still in flight
	g, err = l.Report(sender("e-1"), report(1, 3, 2, wire.Held{Seen: 2, Used: 2}), 0)
	is.Equal(given(t, g, err).Given, uint64(4))
}

func TestLedgerRecallsIdleSlotsForAnotherHolder(t *testing.T) {
	is := is.New(t)
	l := newLedger(1, 6)
	g, err := l.Report(sender("e-1"), report(1, 1, 6, wire.Held{}), 0)
	is.Equal(given(t, g, err).Given, uint64(6))
	_, err = l.Report(sender("e-2"), report(1, 1, 2, wire.Held{}), 0)
	is.NoErr(err)
	pushes := l.Pushes()
	is.Equal(len(pushes), 1)
	is.Equal(pushes[0].To, sender("e-1"))
	is.Equal(pushes[0].Grant.Recall, 2)
	_, err = l.Report(sender("e-1"), report(1, 2, 0, wire.Held{Seen: 6, Returned: 2}), 0)
	is.NoErr(err)
	pushes = l.Pushes()
	is.Equal(len(pushes), 1)
	is.Equal(pushes[0].To, sender("e-2"))
	is.Equal(pushes[0].Grant.Servers[0].Given, uint64(2))
}

func TestLedgerReclaimsSlotsOfAnUnresponsiveHolder(t *testing.T) {
	is := is.New(t)
	l := newLedger(1, 6)
	_, err := l.Report(sender("e-1"), report(1, 1, 4, wire.Held{}), 0)
	is.NoErr(err)
	is.True(!l.Tick(lifetime - 1))
	is.True(l.Tick(lifetime))
	l.Begin(2, lifetime)
	pushes := l.Pushes()
	is.Equal(len(pushes), 1)
	is.Equal(pushes[0].Grant.Term, id.Term(2))
	g, err := l.Report(sender("e-2"), report(2, 1, 6, wire.Held{}), lifetime)
	is.Equal(given(t, g, err).Given, uint64(2)) // slots that were free stay free
	l.Tick(2*lifetime + maxRequestTime)
	is.Equal(l.Pushes()[0].Grant.Servers[0].Given, uint64(6))
}

func TestLedgerConfigureChangesSlots(t *testing.T) {
	is := is.New(t)
	l := newLedger(1, 6)
	g, err := l.Report(sender("e-1"), report(1, 1, 6, wire.Held{}), 0)
	is.Equal(given(t, g, err).Given, uint64(6))
	l.Configure(nil, 0)
	is.Equal(l.Pushes()[0].Grant.Recall, 6)
	l.Configure([]ledger.Slots{{Server: "a", Slots: 8, Ceiling: 7}}, 0)
	g, err = l.Report(sender("e-1"), report(1, 2, 9, wire.Held{Seen: 6, Used: 6}), 0)
	is.Equal(given(t, g, err).Given, uint64(7)) // bounded by the ceiling
	old := newLedger(2, 6)
	old.Configure([]ledger.Slots{{Server: "a", Slots: 8, Ceiling: 8}}, 0)
	g, err = old.Report(sender("e-1"), report(2, 1, 8, wire.Held{}), 0)
	is.Equal(given(t, g, err).Given, uint64(0)) // an earlier home may have granted the added slots too
}
