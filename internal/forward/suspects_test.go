package forward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// A request that crashes servers must be quarantined even if each send of it is given up
// before the crash, and no request may be blamed for it whose server lives on.
func TestCrashesDuringAbandonedRequestsAreCounted(t *testing.T) {
	tests := map[string]struct {
		script  string
		left    string        // the caller's deadline in milliseconds
		leaves  time.Duration // after which the caller leaves, 0 if it stays
		planned bool          // the servers leave the roster before they end
		// restarted is set if the servers have been started again under their names before
		// they are checked.
		restarted bool
		crashes   int
	}{
		"caller leaves":                             {"late crash", "2000", 50 * time.Millisecond, false, false, 3},
		"deadline passes":                           {"late crash", "50", 0, false, false, 3},
		"caller leaves, server lives on":            {"silent", "2000", 50 * time.Millisecond, false, false, 0},
		"deadline passes, server lives on":          {"silent", "50", 0, false, false, 0},
		"caller leaves, servers end as planned":     {"late crash", "2000", 50 * time.Millisecond, true, false, 0},
		"caller leaves, servers are back at once":   {"silent", "2000", 50 * time.Millisecond, false, true, 3},
		"deadline passes, servers are back at once": {"silent", "50", 0, false, true, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := start(t, service.Read, tt.script)
			f.addServer(t) // one is left to compare with
			f.route.Timeout, f.route.Attempts = 2*time.Second, 1
			send := func(left string, leaves time.Duration) (int, string) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if leaves > 0 {
					ctx, cancel = context.WithTimeout(ctx, leaves)
					defer cancel()
				}
				r, err := f.request(ctx, "/x/8", "")
				is.NoErr(err)
				r.Header.Set("X-Left", left)
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					return 0, ""
				}
				resp.Body.Close()
				return resp.StatusCode, resp.Header.Get(result.HeaderCode)
			}
			// abandon sends a request, and again if it was given up before it reached a server.
			abandon := func() {
				before := f.backend.requests.Load()
				for tries := 0; tries < 20 && f.backend.requests.Load() == before; tries++ {
					send(tt.left, tt.leaves)
					for i := 0; f.backend.requests.Load() == before && i < 20; i++ {
						time.Sleep(10 * time.Millisecond)
					}
				}
			}
			f.restart(1)
			for n := range 3 {
				abandon()
				if tt.restarted {
					f.restart(int64(n + 2))
				}
				if tt.planned {
					f.roster.Replace(time.Now(), nil)
				}
				for i := 0; f.crashes() <= min(n, tt.crashes) && i < 150; i++ {
					time.Sleep(20 * time.Millisecond)
				}
			}
			is.Equal(f.crashes(), tt.crashes)
			if tt.planned {
				return
			}
			before := f.backend.requests.Load()
			_, code := send("1000", 0) // enough to reach a server on a busy machine
			is.Equal(code == result.Quarantined.String(), tt.crashes > 0)
			is.Equal(f.backend.requests.Load() == before, tt.crashes > 0)
		})
	}
}

// Guards against a request that crashes servers never being refused because each of them answers
// it with an error first, and against errors of servers that live on being counted as crashes.
func TestCrashesBehindErrorsAreCounted(t *testing.T) {
	tests := map[string]struct {
		kind    service.Kind
		script  string
		crashes int
	}{
		"read":                   {service.Read, "error, crash", 3},
		"write":                  {service.Write, "error, crash", 3},
		"read, server lives on":  {service.Read, "error", 0},
		"write, server lives on": {service.Write, "error", 0},
		"turned away, lives on":  {service.Write, "shed", 0},
		"may have run, lives on": {service.Write, "busy", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := start(t, tt.kind, tt.script)
			f.addServer(t) // one is left to compare with
			f.route.Timeout, f.route.Attempts = 2*time.Second, 1
			body := map[service.Kind]string{service.Write: "body"}[tt.kind]
			for n := range 3 {
				f.ask(t.Context(), "/x/8", body)
				for end := time.Now().Add(1500 * time.Millisecond); f.crashes() <= min(n, tt.crashes) && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				}
			}
			is.Equal(f.crashes(), tt.crashes)
			before := f.backend.requests.Load()
			_, header, _ := f.ask(t.Context(), "/x/8", body)
			is.Equal(header.Get(result.HeaderCode) == result.Quarantined.String(), tt.crashes > 0)
			is.Equal(f.backend.requests.Load() == before, tt.crashes > 0)
		})
	}
}

// restart registers all servers anew, as started at a time.
func (f *fixture) restart(startedAt int64) {
	var all []roster.Server
	for _, m := range f.members("") {
		s := m.Server
		s.StartedAt = startedAt
		all = append(all, s)
	}
	f.roster.Replace(time.Now(), all)
}
