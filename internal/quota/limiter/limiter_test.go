package limiter_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/internal/quota/limiter"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const acme = id.Organisation("acme")

var bounds = quota.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Allowance: 20}

// cluster is a number of connected limiters.
type cluster struct {
	limiters []*limiter.Limiter
	// lost holds the entries that don't answer.
	lost      [8]atomic.Bool
	questions atomic.Int64
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 9000)
}

// newCluster returns limiters with full buckets.
func newCluster(n int, all ...quota.Organisation) *cluster {
	c := &cluster{}
	start := time.Now()
	for i := range n {
		l := &limiter.Limiter{
			Clock: func() boottime.Instant { return boottime.Instant(time.Since(start) + time.Hour) },
			Log:   slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewSet(),
		}
		l.Send = func(ctx context.Context, to netip.AddrPort, question []byte) ([]byte, error) {
			c.questions.Add(1)
			other := int(to.Addr().As4()[3]) - 1
			if !to.IsValid() || c.lost[other].Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			time.Sleep(2 * time.Millisecond)
			answer := c.limiters[other].Handle(address(i), question)
			if answer == nil {
				return nil, errors.New("no answer")
			}
			return answer, nil
		}
		c.limiters = append(c.limiters, l)
	}
	for i, l := range c.limiters {
		var others []netip.AddrPort
		var live []limiter.Entry
		for k := range n {
			if k != i {
				others = append(others, address(k))
				live = append(live, limiter.Entry{Peers: address(k), Address: address(k)})
			}
		}
		l.SetBounds(bounds)
		l.SetOrganisations(all)
		l.SetEntries(address(i), others)
		l.SetLive(live)
		l.SetGranting(true)
	}
	time.Sleep(time.Minute)
	return c
}

// accountable returns the entries that are accountable for acme, and one that isn't.
func (c *cluster) accountable() (all []int, other int) {
	for i, l := range c.limiters {
		if len(l.States()) > 0 {
			all = append(all, i)
		} else {
			other = i
		}
	}
	return all, other
}

// Guards against limits that are lost, or exceeded, between entries that ask and entries that
// are accountable.
func TestRequestsWithinTheLimitAreGranted(t *testing.T) {
	for _, entries := range []int{1, 2, 3, 8} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(entries, quota.Organisation{Name: acme, Rate: 10, Burst: 30})
				counts := map[quota.Outcome]int{}
				for range 100 {
					v := c.limiters[0].Take(context.Background(), acme)
					counts[v.Outcome]++
					if v.Outcome == quota.Exceeded {
						is.True(v.RetryAfter > 0 && v.RetryAfter <= 2*time.Second)
					}
				}
				is.Equal(counts[quota.Unavailable], 0)
				is.True(counts[quota.Granted] >= 30 && counts[quota.Granted] <= 33)
				time.Sleep(time.Second)
				is.Equal(c.limiters[entries-1].Take(context.Background(), acme).Outcome, quota.Granted)
			})
		})
	}
}

// Guards against a request that waits without end, or is told a wrong reason, when accountable
// entries don't answer.
func TestAccountableEntriesLost(t *testing.T) {
	tests := map[string]struct {
		lost    int
		granted bool
		longest time.Duration
	}{
		"one":   {1, true, 80 * time.Millisecond},
		"two":   {2, true, 150 * time.Millisecond},
		"three": {3, false, 150 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(8, quota.Organisation{Name: acme, Rate: 10, Burst: 30})
				all, asker := c.accountable()
				for _, i := range all[:tc.lost] {
					c.lost[i].Store(true)
				}
				granted := 0
				for range 10 {
					begin := time.Now()
					v := c.limiters[asker].Take(context.Background(), acme)
					is.True(time.Since(begin) <= tc.longest)
					is.True(v.Outcome != quota.Exceeded)
					if v.Outcome == quota.Granted {
						granted++
					}
					time.Sleep(300 * time.Millisecond)
				}
				is.Equal(granted > 7, tc.granted)
				if !tc.granted {
					is.Equal(granted, 0)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against an organisation far over its limit that makes entries ask for each request,
// or wait.
func TestOverTheLimitFewQuestionsAreAsked(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(8, quota.Organisation{Name: acme, Rate: 10, Burst: 3})
		_, asker := c.accountable()
		before, waited, granted, start := c.questions.Load(), 0, 0, time.Now()
		for range 5000 {
			begin := time.Now()
			if c.limiters[asker].Take(context.Background(), acme).Outcome == quota.Granted {
				granted++
			}
			if time.Since(begin) > 0 {
				waited++
			}
			time.Sleep(time.Millisecond)
		}
		limit := 10 * time.Since(start).Seconds()
		is.True(float64(granted) >= 0.95*limit && float64(granted) <= limit+8)
		is.True(c.questions.Load()-before < 300)
		is.True(waited < 250)
		time.Sleep(time.Second)
	})
}

// Guards against quotas at entries whose deployment or configuration asks for none.
func TestWithoutLimits(t *testing.T) {
	tests := map[string]func(l *limiter.Limiter){
		"no bounds":            func(l *limiter.Limiter) { l.SetBounds(quota.Bounds{}) },
		"no organisations":     func(l *limiter.Limiter) { l.SetOrganisations(nil) },
		"organisation without": func(l *limiter.Limiter) { l.SetOrganisations([]quota.Organisation{{Name: acme}}) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(1, quota.Organisation{Name: acme, Rate: 1, Burst: 1})
				change(c.limiters[0])
				for range 100 {
					v := c.limiters[0].Take(context.Background(), acme)
					is.Equal(v.Outcome, quota.Granted)
					is.True(!c.limiters[0].Expired(v.Grant))
				}
			})
		})
	}
}

// Guards against tokens of requests that have not run being lost, and against tokens that are
// spent after their term.
func TestReturnedTokens(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		want  quota.Outcome
	}{
		"in the term":    {0, quota.Granted},
		"after the term": {6 * time.Second, quota.Unavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(8, quota.Organisation{Name: acme, Rate: 10, Burst: 30})
				all, asker := c.accountable()
				l := c.limiters[asker]
				v := l.Take(context.Background(), acme)
				is.Equal(v.Outcome, quota.Granted)
				for _, i := range all {
					c.limiters[i].SetGranting(false)
				}
				time.Sleep(tc.after)
				is.Equal(l.Expired(v.Grant), tc.after > 0)
				l.Return(v.Grant)
				is.Equal(l.Take(context.Background(), acme).Outcome, tc.want)
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a caller that leaves while its request waits, and takes a token with it.
func TestCallerLeavesWhileItsRequestWaits(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(8, quota.Organisation{Name: acme, Rate: 0.2, Burst: 3})
		_, asker := c.accountable()
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		is.Equal(c.limiters[asker].Take(ctx, acme).Outcome, quota.Unavailable)
		time.Sleep(100 * time.Millisecond) // the token arrives
		before := c.questions.Load()
		is.Equal(c.limiters[asker].Take(context.Background(), acme).Outcome, quota.Granted)
		is.Equal(c.questions.Load(), before)
		time.Sleep(time.Second)
	})
}

// Guards against an organisation's limit that is reached unseen, or that floods the log.
func TestReports(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		var all []quota.Organisation
		for i := range 100 {
			all = append(all, quota.Organisation{Name: id.Organisation(fmt.Sprint("o-", i)), Rate: 0.1})
		}
		c := newCluster(1, all...)
		l := c.limiters[0]
		var log strings.Builder
		l.Log = slog.New(slog.NewTextHandler(&log, nil))
		for range 80 { // 8 s
			for i := range all {
				l.Take(context.Background(), all[i].Name)
			}
			l.Step()
			time.Sleep(100 * time.Millisecond)
		}
		is.True(strings.Contains(log.String(), "limit reached"))
		is.True(strings.Count(log.String(), "limit reached") <= 8*10)
		is.True(l.States()[0].LimitedFor > 0)
		var exported strings.Builder
		l.Metrics.WritePrometheus(&exported)
		is.True(strings.Contains(exported.String(), "shallotpier_quota_limited_organisations 100"))
		is.Equal(strings.Count(exported.String(), "shallotpier_quota_exceeded_total"), 50)
		time.Sleep(10 * time.Second)
		l.Step()
		is.True(strings.Contains(log.String(), "no longer reached"))
		is.Equal(l.States()[0].LimitedFor, time.Duration(0))
	})
}

// BenchmarkTake measures a request whose organisation has tokens, with 1,000 organisations.
func BenchmarkTake(b *testing.B) {
	for _, name := range []string{"own", "held"} {
		b.Run(name, func(b *testing.B) {
			all := make([]quota.Organisation, 1000)
			for i := range all {
				all[i] = quota.Organisation{Name: id.Organisation(fmt.Sprint("o", i)), Rate: 1e12, Burst: 1e12}
			}
			l := &limiter.Limiter{Clock: boottime.System(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewSet()}
			l.SetBounds(quota.Bounds{Window: time.Hour})
			l.SetOrganisations(all)
			l.SetEntries(address(0), nil)
			l.SetGranting(name == "own")
			ctx := context.Background()
			grants := make([]quota.Grant, len(all))
			for i := range all {
				grants[i] = quota.Grant{Organisation: all[i].Name, Expires: l.Clock().Add(time.Hour)}
			}
			time.Sleep(10 * time.Millisecond)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if name == "held" {
					l.Return(grants[i%len(all)])
				}
				if l.Take(ctx, all[i%len(all)].Name).Outcome != quota.Granted {
					b.Fatal("refused")
				}
				i++
			}
		})
	}
}
