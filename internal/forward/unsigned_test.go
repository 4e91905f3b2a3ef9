package forward_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/result"
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

// Guards against a proper request being ended by a status that neither a server nor another
// entry gave: net/http answers a head that it can't read by itself, and another program may
// listen at the address of an entry that has ended.
func TestUnsignedStatusesOfRelaysAreNotForwarded(t *testing.T) {
	tests := map[string]struct {
		status int
		header map[string]string
		want   int
	}{
		"redirect":            {http.StatusMovedPermanently, map[string]string{"Location": "/y"}, http.StatusBadGateway},
		"bad request":         {http.StatusBadRequest, nil, http.StatusBadGateway},
		"not found":           {http.StatusNotFound, nil, http.StatusBadGateway},
		"not allowed":         {http.StatusMethodNotAllowed, nil, http.StatusBadGateway},
		"header too large":    {http.StatusRequestHeaderFieldsTooLarge, nil, http.StatusBadGateway},
		"request not run":     {http.StatusTooManyRequests, nil, http.StatusBadGateway},
		"unavailable":         {http.StatusServiceUnavailable, nil, http.StatusBadGateway},
		"entry has no route":  {http.StatusNotFound, map[string]string{result.HeaderCode: result.NoService.String()}, http.StatusNotFound},
		"entry is overloaded": {http.StatusServiceUnavailable, map[string]string{result.HeaderCode: result.ShedByServer.String()}, http.StatusServiceUnavailable},
		"server's own":        {http.StatusNotFound, map[string]string{"X-Signed": "s"}, http.StatusNotFound},
		"server's error":      {http.StatusInternalServerError, map[string]string{"Shallotpier-Relay-Server": "i-1"}, http.StatusInternalServerError},
	}
	for name, tt := range tests {
		for _, kind := range []service.Kind{service.Read, service.Write} {
			t.Run(name+", "+string(kind), func(t *testing.T) {
				is := is.New(t)
				other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					for name, value := range tt.header {
						w.Header().Set(name, value)
					}
					w.WriteHeader(tt.status)
				}))
				t.Cleanup(other.Close)
				f := start(t, kind, "ok")
				f.loseLinks()
				f.passOnTo(true, other.Listener.Addr().String())
				status, _, _ := f.ask(t.Context(), "/x/1", map[service.Kind]string{service.Write: "body"}[kind])
				is.Equal(status, tt.want)
			})
		}
	}
}
