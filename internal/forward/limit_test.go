package forward_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

func TestAnswersThatNameLimits(t *testing.T) {
	tests := map[string]struct {
		line string
		// first and second are the limits after the answer, to a server without a limit
		// and to one that has named 7.
		first, second unit.Rate
	}{
		"success":              {"limited", 2.5, 2.5},
		"success without one":  {"ok", 0, 0},
		"error":                {"error, limited", 2.5, 2.5},
		"error without one":    {"error", 0, 0},
		"refusal":              {"shed, limited", 2.5, 2.5},
		"refusal without one":  {"shed", 0, 7},
		"of another server":    {"other, limited", 0, 7},
		"unsigned":             {"unsigned, limited", 0, 7},
		"unsigned without one": {"unsigned", 0, 7},
		"invalid":              {"limit invalid", 0, 7},
		"cut in its body":      {"limited, cut", 2.5, 2.5},
		"cut in its head":      {"cut", 0, 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, service.Write, tt.line)
			limit := func() unit.Rate {
				highest := unit.Rate(0)
				for _, m := range f.roster.All() {
					highest = max(highest, m.Limit(time.Now()))
				}
				return highest
			}
			f.ask(t.Context(), "/x/1", "body")
			is.Equal(limit(), tt.first)
			for _, m := range f.roster.All() {
				m.ObserveLimit(time.Now(), 7, "before")
			}
			f.ask(t.Context(), "/x/1", "body")
			// The other servers keep theirs.
			lowest := unit.Rate(7)
			for _, m := range f.roster.All() {
				lowest = min(lowest, m.Limit(time.Now()))
			}
			is.Equal(lowest, tt.second)
		})
	}
}

// While all servers get as much as they take, a request is refused without a send, and its
// caller is told a time to come back within a third of its deadline.
func TestRequestIsRefusedWhenAllServersAreLimited(t *testing.T) {
	is := is.New(t)
	f := start(t, service.Write, "limited")
	sent := 0
	for refused := 0; refused < 50; refused++ {
		status, header, _ := f.ask(t.Context(), "/x/1", "body")
		if status == http.StatusOK {
			sent, refused = sent+1, -1 // only refusals in a row count
			is.True(sent < 100)
			continue
		}
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(header.Get(result.HeaderCode), result.ServersLimited.String())
		wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(wait > 0 && wait <= f.route.Timeout.Seconds()/3) // callers don't wait for longer
		is.Equal(int(f.backend.requests.Load()), sent)
	}
}
