package soak

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/platform/standin"
)

// A server ran a request that no caller sent, and the check passed over it.
func TestCheckRunsFindsUnaskedRequests(t *testing.T) {
	sent := &attempt{id: "c0-1", method: http.MethodGet, path: "/read/1", interrupted: true}
	tests := map[string]struct {
		request string
		want    string
	}{
		"sent by a caller":                 {request: "c0-1"},
		"sent by no caller":                {request: "c0-2", want: "unasked:"},
		"without an id, sent by no caller": {request: "", want: "unasked:"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &checker{
				byID: map[string]*attempt{sent.id: sent},
				runs: map[string][]standin.Run{tt.request: {{Request: tt.request, Method: sent.method, Path: sent.path}}},
			}
			c.checkRuns()
			if tt.want == "" {
				is.Equal(len(c.violations), 0)
				return
			}
			is.Equal(len(c.violations), 1)
			is.True(strings.HasPrefix(c.violations[0], tt.want))
		})
	}
}
