package roster_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Guards against requests in the second after a server was found to be cold, in which those sent
// before count, and above the entry's share after it. Other reports must not start such a second.
func TestFoundToBeCold(t *testing.T) {
	const (
		share = 4 // 27 requests per second among seven entries: six get 4, and one gets 3
		left  = 5 * time.Second
		span  = roster.ColdSpan
	)
	type report = func(*roster.Roster) bool
	coldOf := func(name id.Server, startedAt int64, at, left time.Duration) report {
		return func(r *roster.Roster) bool { return r.ObserveCold(start.Add(at), name, startedAt, left) }
	}
	cold := func(at, left time.Duration) report { return coldOf("i-1", 1, at, left) }
	registered := func(startedAt int64, at time.Duration) report {
		return func(r *roster.Roster) bool {
			s := server("i-1")
			s.StartedAt, s.Sequence, s.Cold = startedAt, 2, left
			r.Put(start.Add(at), s)
			return true
		}
	}
	tests := map[string]struct {
		do   []report
		last bool                  // the result of the last of them
		want map[time.Duration]int // requests begun at one moment, each on its own
	}{
		"unknown server": {[]report{coldOf("i-2", 1, 0, left)}, false, map[time.Duration]int{0: 100}},
		"another start":  {[]report{coldOf("i-1", 2, 0, left)}, false, map[time.Duration]int{0: 100}},
		"cold":           {[]report{cold(0, left)}, true, map[time.Duration]int{0: 0, span - 1: 0, span: share, left - 1: share, left: 100}},
		"shorter rest":   {[]report{cold(0, left), cold(span, span)}, false, map[time.Duration]int{span: share, left - 1: share, left: 100}},
		"equal rest":     {[]report{cold(0, left), cold(span, left-span+50*time.Millisecond)}, false, map[time.Duration]int{span: share, left: 100}},
		"longer rest":    {[]report{cold(0, left), cold(span, left)}, true, map[time.Duration]int{span: share, left: share, left + span: 100}},
		"longer in hold": {[]report{cold(0, left), cold(span/2, left)}, true, map[time.Duration]int{span - 1: 0, span: share, left: share}},
		"cold again":     {[]report{cold(0, left), cold(2*left, left)}, true, map[time.Duration]int{2 * left: 0, 2*left + span: share}},

		"registration":              {[]report{registered(1, 0)}, true, map[time.Duration]int{0: 0, span - 1: 0, span: share, left: 100}},
		"registration while cold":   {[]report{cold(0, left), registered(1, span)}, true, map[time.Duration]int{span: share, left: share}},
		"registration of new start": {[]report{registered(2, 0)}, true, map[time.Duration]int{0: share, left: 100}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for at, want := range tt.want {
				is := is.New(t)
				r := newRoster()
				r.Put(start, server("i-1"))
				last := false
				for _, do := range tt.do {
					last = do(r)
				}
				is.Equal(last, tt.last)
				if got := begun(r, start.Add(at)); got != want {
					t.Errorf("%d requests after %v, want %d", got, at, want)
				}
			}
		})
	}
}

// Guards against more requests of all entries together than a cold server takes in any second
// since it has become cold, while one entry after the other hears of it.
func TestEntriesKeepTheBoundOfAServerFoundToBeCold(t *testing.T) {
	const (
		entries = 7
		bound   = 30
		left    = 2500 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := func(name string, from, to int) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
		}
		found := milliseconds("found", 0, 200) // by a check
		warm := entries * time.Second / time.Duration(rapid.IntRange(1, 60).Draw(t, "per second while warm"))
		var (
			rosters     [entries]*roster.Roster
			members     [entries]*roster.Member
			hears, next [entries]time.Duration
			told        [entries]bool
			sent        []time.Duration
		)
		for self := range entries {
			others := make([]netip.AddrPort, 0, entries)
			for n := range entries {
				others = append(others, entry(byte(n)))
			}
			r := newRoster()
			r.SetEntries(entry(byte(self)), slices.Delete(others, self, self+1))
			r.Put(start, server("i-1"))
			rosters[self], members[self] = r, r.View().Members(svc)[0]
			hears[self] = found + milliseconds("delay", 0, 210) // two datagrams may be lost
			next[self] = warm * time.Duration(self) / entries
		}
		for now := time.Duration(0); now < left; now += 2 * time.Millisecond {
			for i, r := range rosters {
				if !told[i] && now >= hears[i] {
					told[i] = r.ObserveCold(start.Add(now), "i-1", 1, left-now)
				}
				if now < next[i] {
					continue
				}
				if members[i].Begin(start.Add(now)) {
					sent = append(sent, now)
				}
				if next[i] += warm; told[i] { // as many as the server may get
					next[i] = now
				}
			}
		}
		first := 0
		for i, at := range sent {
			for at-sent[first] >= time.Second {
				first++
			}
			if n := i - first + 1; n > bound {
				t.Fatalf("%d requests in the second until %v, want %d", n, at, bound)
			}
		}
	})
}
