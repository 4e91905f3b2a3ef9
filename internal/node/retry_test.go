package node_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/forward"
	"github.com/shallotpier/shallotpier/internal/node"
	"github.com/shallotpier/shallotpier/internal/retry"
	"github.com/shallotpier/shallotpier/internal/simclock"
)

// An entry that restarts must not use the retry allowance of the current window again,
// nor that of entries that it doesn't know yet.
func TestRetryAllowanceAfterStart(t *testing.T) {
	tests := map[string]struct {
		age       time.Duration
		listed    bool
		allowance float64
	}{
		"just started":               {retry.Window - 1, true, 0},
		"other entries aren't known": {time.Hour, false, 0},
		"later":                      {retry.Window, true, 0.8 * 60 / 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNode(t)
				n.SetBounds(node.Bounds{RetryLimits: forward.RetryLimits{Share: 0.5, Allowance: 60}})
				for _, peer := range []string{"10.0.0.2:90", "10.0.0.3:90"} {
					n.Heartbeats.AddPeer("", netip.MustParseAddrPort(peer))
				}
				if tt.listed {
					n.MarkEntriesListed()
				}
				time.Sleep(tt.age)
				is.Equal(n.RetryLimits(), forward.RetryLimits{Share: 0.4, Allowance: tt.allowance})
			})
		})
	}
}
