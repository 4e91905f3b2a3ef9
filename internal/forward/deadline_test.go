package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Guards against proper requests being turned away as malformed because of how long their
// callers wait: longer than the entry keeps any request, or no longer at all.
func TestDeadlinesOfProperRequests(t *testing.T) {
	tests := map[string]struct {
		left   string
		status int
		code   result.Code // 0 if the server answers
	}{
		"usual":              {"300", http.StatusOK, 0},
		"fraction":           {"300.5", http.StatusOK, 0},
		"exponent":           {"3e2", http.StatusOK, 0},
		"an hour":            {"3600000", http.StatusOK, 0},
		"over an hour":       {"3600001", http.StatusOK, 0},
		"over all durations": {"1e300", http.StatusOK, 0},
		"has just passed":    {"0", http.StatusServiceUnavailable, result.DeadlinePassed},
		"has passed":         {"-1", http.StatusServiceUnavailable, result.DeadlinePassed},
		"has passed by far":  {"-1e300", http.StatusServiceUnavailable, result.DeadlinePassed},
		"not a number":       {"NaN", http.StatusBadRequest, result.BadRequest},
		"words":              {"soon", http.StatusBadRequest, result.BadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, service.Read, "ok")
			r, err := f.request(t.Context(), "/x/1", "")
			is.NoErr(err)
			r.Header.Set("X-Left", tt.left)
			began := time.Now()
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, tt.status)
			if tt.code != 0 {
				is.Equal(resp.Header.Get(result.HeaderCode), tt.code.String())
			}
			is.True(time.Since(began) < 300*time.Millisecond) // nobody waits for a deadline
		})
	}
}
