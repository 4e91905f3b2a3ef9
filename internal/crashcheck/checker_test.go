package crashcheck_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/crashcheck"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// connectTime is how long a simulated connection takes.
const connectTime = 40 * time.Millisecond

// A server that takes no connection has ended only if the path to other servers works.
func TestVerdicts(t *testing.T) {
	tests := map[string]struct {
		accepting []string
		others    []string
		want      crashcheck.Verdict
	}{
		"server accepts":              {[]string{"a", "b"}, []string{"b"}, crashcheck.Alive},
		"only the server refuses":     {[]string{"b"}, []string{"b"}, crashcheck.Ended},
		"one other of three accepts":  {[]string{"d"}, []string{"b", "c", "d"}, crashcheck.Ended},
		"no server accepts":           {nil, []string{"b", "c"}, crashcheck.Unknown},
		"no other server to ask":      {nil, nil, crashcheck.Ended},
		"server accepts, others none": {[]string{"a"}, []string{"b"}, crashcheck.Alive},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &crashcheck.Checker{Connect: func(_ context.Context, address string) bool {
				for _, a := range tt.accepting {
					if a == address {
						return true
					}
				}
				return false
			}}
			is.Equal(c.Check(t.Context(), target("a"), targets(tt.others)), tt.want)
		})
	}
}

// Many connections that one server's end breaks off at once must not cost as many
// connections to other servers.
func TestConcurrentChecksShareTheComparison(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		var asked atomic.Int64
		c := &crashcheck.Checker{Connect: func(_ context.Context, address string) bool {
			time.Sleep(connectTime)
			if address == "a" {
				return false
			}
			asked.Add(1)
			return true
		}}
		var wg sync.WaitGroup
		for range 28 {
			wg.Go(func() {
				if v := c.Check(t.Context(), target("a"), targets([]string{"b"})); v != crashcheck.Ended {
					t.Errorf("got verdict %v, want ended", v)
				}
			})
		}
		wg.Wait()
		is.Equal(asked.Load(), int64(1))
	})
}

func target(name string) crashcheck.Target {
	return crashcheck.Target{Name: id.Server("i-" + name), Address: name}
}

func targets(names []string) []crashcheck.Target {
	var out []crashcheck.Target
	for _, name := range names {
		out = append(out, target(name))
	}
	return out
}

// Guards against a machine that is silent being taken for a process that has ended, and the
// reverse.
func TestSilentServers(t *testing.T) {
	tests := map[string]struct {
		took   time.Duration // an attempt to connect to the server
		others []string
		want   crashcheck.Verdict
	}{
		"refused at once":         {0, []string{"b"}, crashcheck.Ended},
		"refused later":           {connectTime - 1, []string{"b"}, crashcheck.Ended},
		"no answer":               {connectTime, []string{"b"}, crashcheck.Silent},
		"no answer, no other one": {connectTime, nil, crashcheck.Silent},
		"no answer of any":        {connectTime, []string{"c"}, crashcheck.Unknown},
		"refused, others silent":  {0, []string{"c"}, crashcheck.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := &crashcheck.Checker{Timeout: connectTime, Connect: func(_ context.Context, address string) bool {
					if address == "a" {
						time.Sleep(tt.took)
					}
					return address == "b"
				}}
				is.Equal(c.Check(t.Context(), target("a"), targets(tt.others)), tt.want)
			})
		})
	}
}
