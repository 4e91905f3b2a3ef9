package node_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/freshness"
	"github.com/shallotpier/shallotpier/internal/node"
)

// Guards against an entry that isn't ready and whose log doesn't say why, and against a line
// ten times a second.
func TestReadinessIsLogged(t *testing.T) {
	is := is.New(t)
	var logged bytes.Buffer
	clock := atomic.Int64{}
	n := newNode(t, func(o *node.Options) {
		o.Log = slog.New(slog.NewTextHandler(&logged, nil))
		o.Clock = func() boottime.Instant { return boottime.Instant(clock.Load()) }
	})
	n.SetBounds(node.Bounds{Grace: grace, Revoke: 5 * time.Second})
	now := time.Now()
	lines := func(ticks int) []string {
		logged.Reset()
		for range ticks {
			now = now.Add(100 * time.Millisecond)
			n.LogReadiness(now)
		}
		var out []string
		for line := range strings.Lines(logged.String()) {
			if strings.Contains(line, "ready") {
				out = append(out, line)
			}
		}
		return out
	}
	got := lines(60)
	is.Equal(len(got), 2) // at the start and 5 s later
	is.True(strings.Contains(got[0], `msg="not ready"`) && strings.Contains(got[0], `reasons="[configuration servers]"`))
	n.Configure(keyedConfig(1, "/x/"))
	n.MarkServersListed()
	got = lines(20)
	is.Equal(len(got), 1)
	is.True(strings.Contains(got[0], "reasons=[proof]") && strings.Contains(got[0], "version=1") && strings.Contains(got[0], "revoke=4.75s"))
	n.ConfirmConfiguration(n.Clock()(), 0, freshness.Store)
	got = lines(200)
	is.Equal(len(got), 1)
	is.True(strings.Contains(got[0], "msg=ready"))
	clock.Add(int64(6 * time.Second))
	is.True(strings.Contains(strings.Join(lines(1), ""), "reasons=[proof]"))
}
