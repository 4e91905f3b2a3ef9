package forward_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/service"
)

// Guards against a proper request being ended for good by a status that its server never gave:
// callers don't send a request again after one of these, and an answer without a signature may
// be that of another program at the server's address.
func TestUnsignedStatusesAreNotForwarded(t *testing.T) {
	tests := map[string]struct {
		line   string
		status int
	}{
		"redirect":               {"302, Location: /y", http.StatusBadGateway},
		"bad request":            {"400", http.StatusBadGateway},
		"unauthorized":           {"401", http.StatusBadGateway},
		"not found":              {"404", http.StatusBadGateway},
		"too large":              {"413", http.StatusBadGateway},
		"teapot":                 {"418", http.StatusBadGateway},
		"header too large":       {"431", http.StatusBadGateway},
		"signed redirect":        {"302, Location: /y, X-Signed: s", http.StatusFound},
		"signed not found":       {"404, X-Signed: s", http.StatusNotFound},
		"signed unknown":         {"499, X-Signed: s", 499},
		"not run, without an id": {"400, X-Not-Run: 1", http.StatusBadRequest},
	}
	for name, tt := range tests {
		for _, kind := range []service.Kind{service.Read, service.Write} {
			t.Run(name+", "+string(kind), func(t *testing.T) {
				is := is.New(t)
				f := start(t, kind, tt.line)
				r, err := f.request(t.Context(), "/x/1", map[service.Kind]string{service.Write: "body"}[kind])
				is.NoErr(err)
				resp, err := http.DefaultTransport.RoundTrip(r)
				is.NoErr(err)
				resp.Body.Close()
				is.Equal(resp.StatusCode, tt.status)
			})
		}
	}
}
