package coldcheck_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/coldcheck"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const interval = 200 * time.Millisecond

type (
	// reply is a server's answer to a check.
	reply struct {
		after, left time.Duration
		err         error
	}

	// entry records what its checker does.
	entry struct {
		coldcheck.Checker
		mu      sync.Mutex
		known   bool                      // nothing that is found is new
		asked   map[id.Server][]time.Time // checks
		applied []coldcheck.Finding
		told    []coldcheck.Finding
		toldAt  []time.Time
		logged  bytes.Buffer
	}
)

// newEntry returns an entry whose servers answer in turn, the last answer again and again.
func newEntry(replies map[id.Server][]reply) *entry {
	e := &entry{asked: make(map[id.Server][]time.Time)}
	e.Checker = coldcheck.Checker{
		Interval: interval, MaxMessage: 1200, Log: slog.New(slog.NewTextHandler(&e.logged, nil)), Metrics: metrics.NewSet(),
		Check: func(ctx context.Context, t coldcheck.Target) (time.Duration, error) {
			if ctx.Err() != nil {
				return 0, ctx.Err() // doesn't reach the server
			}
			e.mu.Lock()
			all := replies[t.Server]
			r := all[min(len(e.asked[t.Server]), len(all)-1)]
			e.asked[t.Server] = append(e.asked[t.Server], time.Now())
			e.mu.Unlock()
			select {
			case <-time.After(r.after):
				return r.left, r.err
			case <-ctx.Done():
				return 0, ctx.Err()
			}
		},
		Apply: func(_ time.Time, f coldcheck.Finding) bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.applied = append(e.applied, f)
			return !e.known
		},
		Notify: func(message []byte) {
			e.mu.Lock()
			defer e.mu.Unlock()
			var found []coldcheck.Finding
			_ = cbor.Unmarshal(message, &found)
			e.told, e.toldAt = append(e.told, found...), append(e.toldAt, time.Now())
		},
	}
	return e
}

func target(name id.Server) coldcheck.Target { return coldcheck.Target{Server: name, StartedAt: 7} }

// Guards against servers that are checked late, seldom or after their checks have ended, and
// against goroutines that are left: synctest reports those.
func TestChecksKeepTheInterval(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		e := newEntry(map[id.Server][]reply{"s-1": {{after: interval / 2}}, "s-2": {{}}, "s-3": {{after: time.Hour}}})
		count := func(name id.Server) int {
			synctest.Wait()
			return len(e.asked[name])
		}
		began := time.Now()
		for range 10 { // steps with the same targets change nothing
			e.Step(ctx, []coldcheck.Target{target("s-1"), target("s-2"), target("s-3")})
			time.Sleep(interval)
		}
		for _, name := range []id.Server{"s-1", "s-2"} {
			is.Equal(count(name), 10)
			is.True(e.asked[name][0].Sub(began) < interval)
			for i, at := range e.asked[name][1:] {
				is.Equal(at.Sub(e.asked[name][i]), interval)
			}
		}
		is.Equal(count("s-3"), 1) // not answered yet
		restarted := target("s-3")
		restarted.StartedAt++
		e.Step(ctx, []coldcheck.Target{target("s-2"), restarted})
		time.Sleep(10 * interval)
		is.Equal(count("s-1"), 10) // ended
		is.Equal(count("s-2"), 20)
		is.Equal(count("s-3"), 2) // checked anew
		cancel()
		time.Sleep(10 * interval)
		is.Equal(count("s-2"), 20)
	})
}

// Guards against findings that other entries don't hear of, and against servers that count as cold
// since a check has failed or isn't answered.
func TestFindings(t *testing.T) {
	cold := coldcheck.Finding{Server: "s-1", StartedAt: 7, Left: time.Second}
	warm := reply{}
	tests := map[string]struct {
		known  bool
		first  []reply // of the server s-1
		others []reply // of the server s-2
		want   []coldcheck.Finding
		told   []int64 // milliseconds since the first check of s-1
	}{
		"warm":           {false, []reply{warm}, []reply{warm}, nil, nil},
		"cold":           {false, []reply{{left: time.Second}, warm}, []reply{warm}, []coldcheck.Finding{cold}, []int64{10, 110, 210}},
		"cold, known":    {true, []reply{{left: time.Second}, warm}, []reply{warm}, []coldcheck.Finding{cold}, nil},
		"cold and late":  {false, []reply{{after: 450 * time.Millisecond, left: time.Second}, warm}, []reply{warm}, []coldcheck.Finding{cold}, []int64{460, 560, 660}},
		"failed":         {false, []reply{{left: time.Second, err: errors.New("refused")}}, []reply{warm}, nil, nil},
		"doesn't answer": {false, []reply{{after: time.Hour, left: time.Second}}, []reply{warm}, nil, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				e := newEntry(map[id.Server][]reply{"s-1": tt.first, "s-2": tt.others})
				e.known = tt.known
				e.Step(ctx, []coldcheck.Target{target("s-1"), target("s-2")})
				time.Sleep(5 * time.Second)
				cancel()
				synctest.Wait()
				is.Equal(e.applied, tt.want)
				var told []int64
				for _, at := range e.toldAt {
					told = append(told, at.Sub(e.asked["s-1"][0]).Milliseconds())
				}
				is.Equal(told, tt.told)
				var want []coldcheck.Finding
				for _, f := range tt.want {
					want = append(want, f, f, f)
				}
				is.True(tt.known || slices.Equal(e.told, want))
			})
		})
	}
}

// Guards against messages of other entries that stop an entry, that are dropped without a trace,
// or that make a server cold that nobody has found cold.
func TestReceive(t *testing.T) {
	encode := func(v any) []byte {
		data, _ := cbor.Marshal(v)
		return data
	}
	found := []coldcheck.Finding{{Server: "s-1", StartedAt: 7, Left: time.Second}, {Server: "s-2", Left: 24 * time.Hour}}
	tests := map[string]struct {
		message []byte
		want    []coldcheck.Finding
		dropped int
	}{
		"findings":         {encode(found), found, 0},
		"implausible":      {encode([]coldcheck.Finding{{Server: "s-1"}, {Server: "s-2", Left: -1}, {Server: "s-3", Left: 25 * time.Hour}}), nil, 0},
		"empty":            {nil, nil, 1},
		"cut":              {encode(found)[:20], nil, 1},
		"followed by more": {append(encode(found), 1), nil, 1},
		"other types":      {encode([]map[int]string{{3: "long"}}), nil, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEntry(nil)
			e.Receive(tt.message)
			is.Equal(e.applied, tt.want)
			is.Equal(strings.Count(e.logged.String(), "findings dropped"), tt.dropped)
		})
	}
}

// Guards against findings that are lost because their message is too long for a datagram.
func TestFindingsOfLongNames(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		const servers, maxMessage = 40, 1200
		ctx, cancel := context.WithCancel(t.Context())
		replies, targets := make(map[id.Server][]reply), make([]coldcheck.Target, 0, servers)
		for i := range servers {
			name := id.Server(fmt.Sprintf("s-%060d", i))
			replies[name] = []reply{{left: time.Second}}
			targets = append(targets, target(name))
		}
		e := newEntry(replies)
		notify, longest := e.Notify, 0
		e.Notify = func(message []byte) {
			e.mu.Lock()
			longest = max(longest, len(message))
			e.mu.Unlock()
			notify(message)
		}
		e.Step(ctx, targets)
		time.Sleep(interval)
		cancel()
		time.Sleep(interval * 3)
		synctest.Wait()
		e.mu.Lock()
		defer e.mu.Unlock()
		is.True(longest <= maxMessage)
		names := make(map[id.Server]bool)
		for _, f := range e.told {
			names[f.Server] = true
		}
		is.Equal(len(names), servers)
	})
}
