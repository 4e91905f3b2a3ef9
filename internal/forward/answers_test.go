package forward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// count returns the number of servers for which a condition holds.
func (f *fixture) count(holds func(*roster.Member) bool) int {
	n := 0
	for _, m := range f.roster.All() {
		if holds(m) {
			n++
		}
	}
	return n
}

// A server that says in any answer that it is leaving must get no further request,
// although its registration says otherwise.
func TestServersThatLeaveByTheirAnswers(t *testing.T) {
	tests := map[string]struct {
		line string
		kind service.Kind
		// leaves is set if the answer makes its server leave.
		leaves bool
	}{
		"success":                      {"200, X-Leaving: 1", service.Write, true},
		"success of a read":            {"200, X-Leaving: 1", service.Read, true},
		"last answer of a connection":  {"200, X-Leaving: 1, Connection: close", service.Write, true},
		"failure":                      {"500, X-Leaving: 1", service.Write, true},
		"refusal":                      {"503, X-Not-Run: 1, X-Leaving: 1", service.Write, true},
		"unsigned failure":             {"502, X-Leaving: 1", service.Write, true},
		"cut in its body":              {"200, X-Leaving: 1, cut", service.Write, true},
		"unexpected case of the name":  {"200, x-LEAVING: 1", service.Write, true},
		"interim":                      {"interim leaving", service.Write, true},
		"of another server":            {"421, X-Leaving: 1", service.Write, false},
		"another value":                {"200, X-Leaving: soon", service.Write, false},
		"no announcement, for control": {"200", service.Write, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, tt.kind, tt.line)
			for range 30 {
				f.ask(t.Context(), "/x/1", "body")
			}
			left := f.count((*roster.Member).AnsweredLeaving)
			if !tt.leaves {
				is.Equal(left, 0)
				return
			}
			is.Equal(left, 3)
			is.Equal(f.backend.requests.Load(), int64(3)) // each got one request
			status, header, _ := f.ask(t.Context(), "/x/1", "body")
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(header.Get(result.HeaderCode), result.NoServer.String())
		})
	}
}

// An entry that passes on the answer of a leaving server, given to another entry, must
// send that server no further request itself.
func TestRelayedAnswerOfALeavingServer(t *testing.T) {
	is := is.New(t)
	f, _ := cutPair(t, service.Write, true, "200, X-Leaving: 1")
	var unreachable []roster.Server
	for i := range 3 {
		unreachable = append(unreachable, roster.Server{Name: id.Server(fmt.Sprintf("i-%d", i)), Service: svc, Address: "127.0.0.1:1", Slots: 6})
	}
	f.roster.Replace(time.Now(), unreachable)
	status, header, _ := f.ask(t.Context(), "/x/1", "body")
	is.Equal(status, http.StatusOK)
	is.Equal(header.Get("Shallotpier-Relay-Server"), "")
	is.Equal(f.count((*roster.Member).AnsweredLeaving), 1)
}

// A server that turns a request away for a time must get no other one in that time. While
// all servers have done so, requests are refused at once with a time to come back.
func TestServersThatWantNoRequestsForATime(t *testing.T) {
	away := func(m *roster.Member) bool { return m.Away(time.Now()) > 0 }
	tests := map[string]struct {
		line string
		away bool
	}{
		"refusal":             {"503, X-Not-Run: 1, X-Away: 700ms", true},
		"may have run":        {"503, X-Away: 700ms", true},
		"without a time":      {"503, X-Not-Run: 1", false},
		"another status":      {"500, X-Away: 700ms", false},
		"of another server":   {"421, X-Away: 700ms", false},
		"malformed time":      {"503, X-Not-Run: 1, X-Away: soon", false},
		"success with a time": {"200, X-Away: 700ms", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, service.Write, tt.line)
			began := time.Now()
			for range 10 {
				f.ask(t.Context(), "/x/1", "body")
			}
			if !tt.away {
				is.Equal(f.count(away), 0)
				return
			}
			is.Equal(f.count(away), 3)
			is.Equal(f.backend.requests.Load(), int64(3))
			asked := time.Now()
			status, header, _ := f.ask(t.Context(), "/x/1", "body")
			is.True(time.Since(asked) < f.route.Timeout/2) // refused at once
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(header.Get(result.HeaderCode), result.ServersLimited.String())
			wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(wait > 0 && wait <= f.route.Timeout.Seconds()/3)
			for f.backend.requests.Load() == 3 {
				f.ask(t.Context(), "/x/1", "body")
				is.True(time.Since(began) < 5*time.Second)
				time.Sleep(10 * time.Millisecond)
			}
			is.True(time.Since(began) >= 700*time.Millisecond)
		})
	}
}

// One server that turns requests away must not keep others from getting them.
func TestRequestsGoToOtherServersMeanwhile(t *testing.T) {
	is := is.New(t)
	f := start(t, service.Write, "503, X-Not-Run: 1, X-Away: 1m", "200")
	for k := range 30 {
		status, _, _ := f.ask(t.Context(), fmt.Sprintf("/x/%d", k), strings.Repeat("b", k+1))
		is.Equal(status, http.StatusOK)
	}
	is.Equal(f.backend.requests.Load(), int64(31)) // the first one was sent twice
}
