package directory_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/beacon"
	"github.com/shallotpier/shallotpier/internal/directory"
)

func TestChoose(t *testing.T) {
	at := func(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }
	a1 := beacon.Node{Zone: "a-1", Region: "a", Ready: true, Callers: at("10.0.0.1:80")}
	a2 := beacon.Node{Zone: "a-2", Region: "a", Ready: true, Callers: at("10.0.0.2:80")}
	b1 := beacon.Node{Zone: "b-1", Region: "b", Ready: true, Callers: at("10.0.0.3:80")}
	down := beacon.Node{Zone: "a-1", Region: "a", Callers: at("10.0.0.4:80")}
	tests := map[string]struct {
		nodes []beacon.Node
		want  []netip.AddrPort
	}{
		"zone first":      {[]beacon.Node{b1, a2, a1, down}, []netip.AddrPort{a1.Callers}},
		"region next":     {[]beacon.Node{b1, a2, down}, []netip.AddrPort{a2.Callers}},
		"any other":       {[]beacon.Node{b1, down}, []netip.AddrPort{b1.Callers}},
		"none is ready":   {[]beacon.Node{down}, nil},
		"none is known":   {nil, nil},
		"all of the zone": {[]beacon.Node{a1, a1}, []netip.AddrPort{a1.Callers, a1.Callers}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(directory.Choose(tt.nodes, "a-1", "a"), tt.want)
		})
	}
}
