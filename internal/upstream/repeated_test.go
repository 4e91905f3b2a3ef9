package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/upstream"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"

// askTwice sends two requests, one after the other, and returns the second answer's status
// and whether it is certainly the request's. Failed sends have status 0.
func askTwice(ctx context.Context, c *upstream.Client, addr, firstID, secondID string) (status int, certain bool) {
	for _, reqID := range []string{firstID, secondID} {
		r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/x", nil)
		if err != nil {
			return 0, false
		}
		if reqID != "" {
			r.Header.Set(idHeader, reqID)
		}
		ans, err := c.Send(ctx, &upstream.Request{Server: "i-1", Address: addr, HTTP: r, ID: reqID, Idempotent: true})
		if err != nil {
			status, certain = 0, false
			continue
		}
		_, _ = io.Copy(io.Discard, ans.Body)
		status, certain = ans.Status, ans.Certain
		ans.Close()
	}
	return status, certain
}

// A refusal that a server writes once more, after it has read the next request on the
// connection, must not be taken for the answer to that one, which runs.
func TestRepeatedRefusalsAreNotAnswers(t *testing.T) {
	tests := map[string]struct {
		first             string // the answer to the first request on a connection, which is written once more
		firstID, secondID string
		certain           bool
		connections       int64
	}{
		"with an id":              {refusal + "X-Id: a\r\n\r\n", "a", "b", true, 1},
		"without an id":           {refusal + "\r\n", "a", "b", true, 2},
		"of the same id":          {refusal + "X-Id: a\r\n\r\n", "a", "a", true, 2},
		"to requests without one": {refusal + "\r\n", "", "", true, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var connections atomic.Int64
			addr := serve(t, func(n int, c net.Conn) {
				connections.Add(1)
				requests(c, func(k int, r *http.Request) string {
					switch {
					case n == 0 && k == 0:
						return tt.first
					case k == 0:
						return ok(r.Header.Get(idHeader), "two")
					default:
						return tt.first + ok(r.Header.Get(idHeader), "two")
					}
				})
			})
			status, certain := askTwice(t.Context(), newClient(), addr, tt.firstID, tt.secondID)
			is.Equal(status, http.StatusOK)
			is.Equal(certain, tt.certain)
			is.Equal(connections.Load(), tt.connections)
		})
	}
}

// A failure without an id on a connection that has been used may belong to another request.
func TestAnswersWithoutIDAreUncertainOnUsedConnections(t *testing.T) {
	is := is.New(t)
	addr := serve(t, func(_ int, c net.Conn) {
		requests(c, func(k int, _ *http.Request) string {
			if k == 0 {
				return ok("a", "one")
			}
			return refusal + "\r\n"
		})
	})
	status, certain := askTwice(t.Context(), newClient(), addr, "a", "b")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(!certain)
}
