package roster_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// A server that has said by an answer that it is leaving must get no request until its
// next start, whatever its registration says.
func TestServerThatLeavesByItsAnswer(t *testing.T) {
	again := server("i-1")
	again.Sequence = 7
	moved := server("i-1")
	moved.Address = "10.0.0.9:80"
	restarted := server("i-1")
	restarted.StartedAt = 2
	tests := map[string]struct {
		do     func(r *roster.Roster)
		leaves bool
	}{
		"nothing else":         {func(*roster.Roster) {}, true},
		"it reports ready":     {func(r *roster.Roster) { r.Put(start, again) }, true},
		"a list":               {func(r *roster.Roster) { r.Replace(start, []roster.Server{again, server("i-2")}) }, true},
		"a peer's list":        {func(r *roster.Roster) { r.Bootstrap(start, []roster.Server{again, server("i-2")}) }, true},
		"registered once more": {func(r *roster.Roster) { r.Remove(start, "i-1"); r.Put(start, again) }, true},
		"zone evacuated and taken back": {func(r *roster.Roster) {
			r.SetEvacuated(start, map[id.Zone]bool{"a-1": true})
			r.SetEvacuated(start, nil)
		}, true},
		"store restored": {func(r *roster.Roster) {
			r.StoreRestored(start)
			r.Replace(start, []roster.Server{server("i-1"), server("i-2")})
		}, true},
		"other entries known": {func(r *roster.Roster) { r.SetEntries(entry(1), []netip.AddrPort{entry(2)}) }, true},
		"at another address":  {func(r *roster.Roster) { r.Put(start, moved) }, true},
		"restarted":           {func(r *roster.Roster) { r.Put(start, restarted) }, false},
		"restarted after its removal": {func(r *roster.Roster) {
			r.Remove(start, "i-1")
			r.Put(start, restarted)
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			r.Put(start, server("i-1"))
			r.Put(start, server("i-2"))
			older := r.View().Member(svc, "i-1")
			r.ObserveLeaving(older, "req")
			is.Equal(slices.Contains(names(r), "i-1"), false)
			is.True(!older.Begin(start)) // as seen by requests in progress
			tt.do(r)
			is.Equal(slices.Contains(names(r), "i-1"), !tt.leaves)
			is.True(slices.Contains(names(r), "i-2"))
		})
	}
}

// An answer to a request that was sent by an older view, before the server's address
// changed, must count for its present registration.
func TestAnswersToRequestsOfAnOlderView(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	for _, name := range []id.Server{"i-1", "i-2"} {
		r.Put(start, server(name))
		older := r.View().Member(svc, name)
		moved := server(name)
		moved.Address = "10.0.0.9:80"
		r.Put(start, moved)
		if name == "i-1" {
			r.ObserveLeaving(older, "a")
		} else {
			r.ObserveAway(start, older, time.Minute, "a")
		}
	}
	is.Equal(names(r), []id.Server{"i-2"})
	is.True(!r.View().Member(svc, "i-2").Begin(start))
}

// A server must get no request while it wants none, a tenth longer at most, and in any case
// not after its next start.
func TestServerThatWantsNoRequests(t *testing.T) {
	restarted := server("i-1")
	restarted.StartedAt = 2
	tests := map[string]struct {
		do func(r *roster.Roster, m *roster.Member)
		// until is when it may get requests again.
		until time.Duration
	}{
		"once":                  {func(*roster.Roster, *roster.Member) {}, 10 * time.Second},
		"once more, for longer": {func(r *roster.Roster, m *roster.Member) { r.ObserveAway(start, m, 20*time.Second, "b") }, 20 * time.Second},
		"once more, for shorter": {func(r *roster.Roster, m *roster.Member) {
			r.ObserveAway(start, m, time.Second, "b")
		}, 10 * time.Second},
		"for days":  {func(r *roster.Roster, m *roster.Member) { r.ObserveAway(start, m, 1000*time.Hour, "b") }, roster.MaxAway},
		"restarted": {func(r *roster.Roster, _ *roster.Member) { r.Put(start, restarted) }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			r.Put(start, server("i-1"))
			r.ObserveAway(start, r.View().Member(svc, "i-1"), 10*time.Second, "a")
			tt.do(r, r.View().Member(svc, "i-1"))
			m := r.View().Member(svc, "i-1")
			if tt.until > 0 {
				before := start.Add(tt.until - time.Millisecond)
				ready, next := m.Readiness(before)
				is.True(!ready)
				is.True(next.After(before))
				is.True(!m.Begin(before))
			}
			after := start.Add(tt.until + tt.until/10)
			is.True(m.Ready(after))
			is.True(m.Begin(after))
		})
	}
}
