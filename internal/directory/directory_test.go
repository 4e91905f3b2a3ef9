package directory_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/directory"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/pkg/id"
)

func TestChooseByDistance(t *testing.T) {
	at := func(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }
	a1 := heartbeat.Node{Zone: "a-1", Region: "a", Ready: true, Callers: at("10.0.0.1:80")}
	a2 := heartbeat.Node{Zone: "a-2", Region: "a", Ready: true, Callers: at("10.0.0.2:80")}
	b1 := heartbeat.Node{Zone: "b-1", Region: "b", Ready: true, Callers: at("10.0.0.3:80")}
	down := heartbeat.Node{Zone: "a-1", Region: "a", Callers: at("10.0.0.4:80")}
	tests := map[string]struct {
		nodes []heartbeat.Node
		want  []netip.AddrPort
	}{
		"zone preferred":   {[]heartbeat.Node{b1, a2, a1, down}, []netip.AddrPort{a1.Callers}},
		"region as second": {[]heartbeat.Node{b1, a2, down}, []netip.AddrPort{a2.Callers}},
		"other region":     {[]heartbeat.Node{b1, down}, []netip.AddrPort{b1.Callers}},
		"none is ready":    {[]heartbeat.Node{down}, nil},
		"none is known":    {nil, nil},
		"all of the zone":  {[]heartbeat.Node{a1, a1}, []netip.AddrPort{a1.Callers, a1.Callers}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(directory.Choose(tt.nodes, "a-1", "a"), tt.want)
		})
	}
}

func TestChooseByCapacity(t *testing.T) {
	node := func(zone id.Zone, n byte, link float64) heartbeat.Node {
		return heartbeat.Node{
			Zone: zone, Region: "a", Ready: true, LinkMbps: link,
			Callers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80),
		}
	}
	tests := map[string]struct {
		nodes []heartbeat.Node
		want  []byte
	}{
		"equal links":               {[]heartbeat.Node{node("a-1", 1, 100), node("a-1", 2, 100)}, []byte{1, 2}},
		"similar links":             {[]heartbeat.Node{node("a-1", 1, 70), node("a-1", 2, 100)}, []byte{2, 1}},
		"small links are left out":  {[]heartbeat.Node{node("a-1", 1, 11), node("a-1", 2, 200), node("a-1", 3, 200)}, []byte{2, 3}},
		"many small links are kept": {[]heartbeat.Node{node("a-1", 1, 30), node("a-1", 2, 40), node("a-1", 3, 30), node("a-1", 4, 30)}, []byte{2, 1, 3, 4}},
		"zone with too little":      {[]heartbeat.Node{node("a-1", 1, 14), node("a-2", 2, 200), node("a-3", 3, 200)}, []byte{2, 3}},
		"zone with enough":          {[]heartbeat.Node{node("a-1", 1, 100), node("a-2", 2, 200), node("a-3", 3, 200)}, []byte{1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var want []netip.AddrPort
			for _, n := range tt.want {
				want = append(want, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80))
			}
			is.New(t).Equal(directory.Choose(tt.nodes, "a-1", "a"), want)
		})
	}
}
