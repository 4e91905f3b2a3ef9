package operator_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/operator"
	"github.com/shallotpier/shallotpier/internal/settings"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// fakeSource records the commands that it receives.
type fakeSource struct {
	drained []operator.Target
	lifted  []string
	ready   error
}

func (s *fakeSource) Status(context.Context) (operator.Status, error) {
	return operator.Status{Instance: "entry-1", Version: 7}, nil
}

func (s *fakeSource) Explain(_ context.Context, q operator.Query) (operator.Explanation, error) {
	return operator.Explanation{Service: q.Service, Class: "findings", Servers: []operator.Choice{{Name: q.Caller.String(), Why: q.Method + " " + q.Path}}}, nil
}

func (s *fakeSource) Drain(_ context.Context, t operator.Target) (operator.Progress, error) {
	if t.Server == "registry-9" {
		return operator.Progress{}, operator.Errorf(result.DrainUnsafe, "east would keep 1 of 12 slots")
	}
	s.drained = append(s.drained, t)
	return operator.Progress{Target: t, Draining: true, Running: 2}, nil
}

func (s *fakeSource) Undrain(_ context.Context, t operator.Target) (operator.Progress, error) {
	return operator.Progress{Target: t}, nil
}

func (s *fakeSource) Progress(_ context.Context, t operator.Target) (operator.Progress, error) {
	return operator.Progress{Target: t, Done: true}, nil
}

func (s *fakeSource) Quarantined(context.Context) ([]operator.Quarantined, error) {
	return nil, errors.New("broken")
}

func (s *fakeSource) Lift(_ context.Context, id string) error {
	s.lifted = append(s.lifted, id)
	return nil
}

func (s *fakeSource) WriteMetrics(w io.Writer) { io.WriteString(w, "requests_total 3\n") }

func (s *fakeSource) Ready() error { return s.ready }

func serve(t *testing.T, s *fakeSource) *httptest.Server {
	server := httptest.NewServer(&operator.Handler{
		Source: s,
		Log:    slog.New(slog.DiscardHandler),
		Operators: []settings.Operator{
			{Name: "nightly", Role: settings.Writer, Hash: settings.HashToken("w")},
			{Name: "wall", Role: settings.Reader, Hash: settings.HashToken("r")},
		},
	})
	t.Cleanup(server.Close)
	return server
}

func address(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func TestHandlerChecksTokenAndRole(t *testing.T) {
	tests := map[string]struct {
		method, path, header string
		status               int
	}{
		"liveness is open":            {method: "GET", path: "/livez", status: http.StatusNoContent},
		"readiness is open":           {method: "GET", path: "/readyz", status: http.StatusServiceUnavailable},
		"no token":                    {method: "GET", path: "/v1/status", status: http.StatusUnauthorized},
		"metrics without token":       {method: "GET", path: "/metrics", status: http.StatusUnauthorized},
		"unknown path, no token":      {method: "GET", path: "/v1/other", status: http.StatusUnauthorized},
		"empty token":                 {method: "GET", path: "/v1/status", header: "Bearer ", status: http.StatusUnauthorized},
		"wrong token":                 {method: "GET", path: "/v1/status", header: "Bearer x", status: http.StatusUnauthorized},
		"other authentication scheme": {method: "GET", path: "/v1/status", header: "Basic w", status: http.StatusUnauthorized},
		"token without scheme":        {method: "GET", path: "/v1/status", header: "w", status: http.StatusUnauthorized},
		"reader reads":                {method: "GET", path: "/v1/status", header: "Bearer r", status: http.StatusOK},
		"reader reads metrics":        {method: "GET", path: "/metrics", header: "Bearer r", status: http.StatusOK},
		"reader may not drain":        {method: "POST", path: "/v1/drain", header: "Bearer r", status: http.StatusForbidden},
		"reader may not lift":         {method: "DELETE", path: "/v1/quarantine/4", header: "Bearer r", status: http.StatusForbidden},
		"reader with other method":    {method: "HEAD", path: "/v1/status", header: "Bearer r", status: http.StatusForbidden},
		"writer, bad target":          {method: "POST", path: "/v1/drain", header: "Bearer w", status: http.StatusBadRequest},
		"writer, unknown path":        {method: "GET", path: "/v1/other", header: "Bearer w", status: http.StatusNotFound},
		"writer, failure":             {method: "GET", path: "/v1/quarantine", header: "Bearer w", status: http.StatusInternalServerError},
		"writer, bad query":           {method: "GET", path: "/v1/explain?service=A&caller=1.2.3.4", header: "Bearer w", status: http.StatusBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source := &fakeSource{ready: errors.New("no configuration")}
			server := serve(t, source)
			req, err := http.NewRequest(tt.method, server.URL+tt.path, strings.NewReader(`{"service":"registry"}`))
			is.NoErr(err)
			if tt.header != "" {
				req.Header.Set("Authorization", tt.header)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(len(source.drained)+len(source.lifted), 0)
		})
	}
}

func TestClientCallsHandler(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{}
	server := serve(t, source)
	ctx := context.Background()
	c := operator.NewClient(address(server), "w")

	status, err := c.Status(ctx)
	is.NoErr(err)
	is.Equal(status, operator.Status{Instance: "entry-1", Version: 7})

	q := operator.Query{Service: "registry", Caller: netip.MustParseAddr("192.0.2.1"), Method: "GET", Path: "/a b"}
	explanation, err := c.Explain(ctx, q)
	is.NoErr(err)
	is.Equal(explanation.Servers, []operator.Choice{{Name: "192.0.2.1", Why: "GET /a b"}})

	target := operator.Target{Service: "registry", Server: "registry-1"}
	progress, err := c.Drain(ctx, target)
	is.NoErr(err)
	is.Equal(progress, operator.Progress{Target: target, Draining: true, Running: 2})
	is.Equal(source.drained, []operator.Target{target})

	progress, err = c.Progress(ctx, operator.Target{Instance: "entry-2"})
	is.NoErr(err)
	is.Equal(progress, operator.Progress{Target: operator.Target{Instance: "entry-2"}, Done: true})

	is.NoErr(c.Lift(ctx, "a/b"))
	is.Equal(source.lifted, []string{"a/b"})
}

func TestClientReturnsReasonOfFailedCommand(t *testing.T) {
	server := serve(t, &fakeSource{})
	tests := map[string]struct {
		address netip.AddrPort
		token   string
		target  operator.Target
		code    result.Code
	}{
		"unsafe":       {address: address(server), token: "w", target: operator.Target{Service: "registry", Server: "registry-9"}, code: result.DrainUnsafe},
		"wrong token":  {address: address(server), token: "x", target: operator.Target{Instance: "entry-1"}, code: result.OperatorUnknown},
		"both targets": {address: address(server), token: "w", target: operator.Target{Instance: "entry-1", Service: "a", Server: "b"}, code: result.BadCommand},
		"unreachable":  {address: netip.MustParseAddrPort("127.0.0.1:1"), token: "w", target: operator.Target{Instance: "entry-1"}, code: result.EntryUnreachable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := operator.NewClient(tt.address, tt.token).Drain(context.Background(), tt.target)
			var e *operator.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Code, tt.code)
		})
	}
}
