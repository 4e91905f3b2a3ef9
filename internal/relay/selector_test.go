package relay_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/relay"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const svc = id.Service("registry")

// other describes another entry.
type other struct {
	region  id.Region
	missed  float64
	leaving bool
	old     bool // a build that takes no requests of other entries
}

// Requests must be passed on only to entries that reach more servers, and not if servers
// are down for all.
func TestEntries(t *testing.T) {
	tests := map[string]struct {
		missed  float64
		others  []other
		allowed []id.Region // empty for all
		lost    bool
		want    []id.Instance // in any order
	}{
		"links lost":                         {1, []other{{"a", 0, false, false}, {"b", 0, false, false}}, nil, true, []id.Instance{"e-0", "e-1"}},
		"another has lost its links too":     {1, []other{{"a", 1, false, false}, {"b", 0, false, false}}, nil, true, []id.Instance{"e-1"}},
		"servers down for all":               {1, []other{{"a", 1, false, false}, {"b", 1, false, false}}, nil, true, nil},
		"half of the servers down for all":   {0.5, []other{{"a", 0.45, false, false}, {"b", 0.5, false, false}}, nil, false, nil},
		"links lost while servers are down":  {1, []other{{"a", 0.6, false, false}, {"b", 1, false, false}}, nil, true, []id.Instance{"e-0"}},
		"another has noticed less of a loss": {0.71, []other{{"a", 0.57, false, false}, {"b", 0.05, false, false}, {"c", 0, false, false}}, nil, false, []id.Instance{"e-1", "e-2"}},
		"zone cut off from all others":       {0.83, []other{{"b", 0.17, false, false}}, nil, false, []id.Instance{"e-0"}},
		"a region out of reach of all":       {0.33, []other{{"a", 0.33, false, false}}, nil, false, nil},
		"nothing known to be out of reach":   {0, []other{{"a", 0, false, false}, {"b", 0.2, false, false}}, nil, false, []id.Instance{"e-0"}},
		"leaving and older entries left out": {1, []other{{"a", 0, true, false}, {"b", 0, false, true}, {"c", 0, false, false}}, nil, true, []id.Instance{"e-2"}},
		"regions of the route":               {1, []other{{"a", 0, false, false}, {"b", 0, false, false}}, []id.Region{"b"}, true, []id.Instance{"e-1"}},
		"no other entry":                     {1, nil, nil, true, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := selector(tt.missed, tt.others)
			is.Equal(s.LinksLost(svc), tt.lost)
			allows := func(r id.Region) bool { return len(tt.allowed) == 0 || slices.Contains(tt.allowed, r) }
			var got []id.Instance
			for _, n := range s.Entries(time.Now(), svc, allows) {
				got = append(got, n.Instance)
			}
			slices.Sort(got)
			is.Equal(got, tt.want)
		})
	}
}

// Entries of the own region come first, and requests spread over them.
func TestEntriesOfTheOwnRegionComeFirst(t *testing.T) {
	is := is.New(t)
	s := selector(1, []other{{"b", 0, false, false}, {"a", 0, false, false}, {"b", 0, false, false}, {"a", 0, false, false}})
	first := make(map[id.Instance]int)
	for range 200 {
		entries := s.Entries(time.Now(), svc, func(id.Region) bool { return true })
		is.Equal(len(entries), 3)
		is.Equal(entries[1].Region, id.Region("a"))
		first[entries[0].Instance]++
	}
	is.Equal(len(first), 2)
	is.True(first["e-1"] > 50 && first["e-3"] > 50)
}

// An entry that takes no connection must be left out for some time, so that requests don't
// wait for it one after the other.
func TestFailedEntriesAreLeftOut(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := selector(1, []other{{"a", 0, false, false}})
		count := func() int { return len(s.Entries(time.Now(), svc, func(id.Region) bool { return true })) }
		is.Equal(count(), 1)
		s.Failed(time.Now(), "e-0")
		is.Equal(count(), 0)
		time.Sleep(3 * time.Second)
		is.Equal(count(), 1)
	})
}

func selector(missed float64, others []other) *relay.Selector {
	return &relay.Selector{
		Region:    "a",
		Unreached: func() map[id.Service]float64 { return map[id.Service]float64{svc: missed} },
		Others: func(time.Time) []heartbeat.Node {
			var all []heartbeat.Node
			for i, o := range others {
				n := heartbeat.Node{
					Instance: id.Instance(fmt.Sprintf("e-%d", i)), Region: o.region, Ready: !o.leaving,
					Unreached: map[id.Service]float64{svc: o.missed},
				}
				if !o.old {
					n.Relay = netip.MustParseAddrPort("10.0.0.1:7721")
				}
				all = append(all, n)
			}
			return all
		},
	}
}
