package freshness_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/freshness"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

var errAway = errors.New("away")

// pair is two entries of which only the first can reach the store.
type pair struct {
	loops [2]*freshness.Loop
	// storeAway and linkCut make all calls fail; suspended is the time that only the clock
	// of the second entry has counted.
	storeAway, linkCut atomic.Bool
	suspended          atomic.Int64
	reads, questions   atomic.Int64
	versions           [2]atomic.Int64
	logged             bytes.Buffer
	metrics            *metrics.Set
}

func (p *pair) start(ctx context.Context, bound time.Duration) {
	begin := time.Now()
	p.metrics = metrics.NewSet()
	addresses := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}
	names := []id.Instance{"e-1", "e-2"}
	for i := range p.loops {
		other := 1 - i
		p.versions[i].Store(1)
		l := &freshness.Loop{
			Tracker: &freshness.Tracker{}, Schedule: freshness.Schedule{Self: names[i], Zone: "z"},
			Clock: func() boottime.Instant {
				return boottime.Instant(time.Since(begin) + time.Duration(int64(i)*p.suspended.Load()))
			},
			Others: func() []freshness.Peer {
				return []freshness.Peer{{Instance: names[other], Zone: "z", Address: addresses[other]}}
			},
			Version: func() id.Version { return id.Version(p.versions[i].Load()) },
			Ask: func(_ context.Context, _ netip.AddrPort, q []byte) ([]byte, error) {
				p.questions.Add(1)
				time.Sleep(5 * time.Millisecond)
				if p.linkCut.Load() {
					return nil, errAway
				}
				return p.loops[other].Answer(addresses[i], q), nil
			},
			Fetch: func(context.Context, id.Instance) error {
				p.versions[i].Store(p.versions[other].Load())
				return nil
			},
			Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		}
		l.Read = func(context.Context) error {
			p.reads.Add(1)
			started := l.Clock()
			time.Sleep(5 * time.Millisecond)
			if i == 1 || p.storeAway.Load() {
				return errAway
			}
			l.Confirmed(freshness.Proof{Moment: started, Version: id.Version(p.versions[i].Load()), Source: freshness.Read})
			return nil
		}
		l.Tracker.SetBound(bound)
		p.loops[i] = l
	}
	p.loops[1].Log, p.loops[1].Metrics = slog.New(slog.NewTextHandler(&p.logged, nil)), p.metrics
	for _, l := range p.loops {
		go l.Run(ctx)
	}
}

func (p *pair) fresh(i int) bool { return p.loops[i].Tracker.Fresh(p.loops[i].Clock()) }

// Guards against a proof that isn't renewed through the other entry, that outlives its loss or
// a suspension of the machine, that comes back late, and against an entry that stays behind
// the other one's configuration because it can't reach the store.
func TestLoopRenewsTheProof(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var p pair
		p.start(ctx, revoke)
		time.Sleep(500 * time.Millisecond)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			is.True(p.fresh(0) && p.fresh(1))
		}
		is.True(p.reads.Load() < 70) // the second entry tries now and then
		p.versions[0].Store(2)
		time.Sleep(2 * time.Second)
		is.Equal(p.loops[1].Version(), id.Version(2))
		is.True(p.fresh(1))
		p.suspended.Add(int64(time.Minute))
		is.True(!p.fresh(1))
		time.Sleep(time.Second)
		is.True(p.fresh(1))
		p.linkCut.Store(true)
		time.Sleep(revoke)
		is.True(p.fresh(0) && !p.fresh(1))
		p.linkCut.Store(false)
		time.Sleep(time.Second)
		is.True(p.fresh(1))
		cancel()
		synctest.Wait()
		for _, want := range []string{"another entry has a newer configuration", "keys are refused", "keys are accepted", "source=entry instance=e-1", "err="} {
			is.True(strings.Contains(p.logged.String(), want)) // the log
		}
		is.True(p.metrics.GetOrCreateCounter(`shallotpier_configuration_unconfirmed_total`).Get() >= 1)
	})
}

// Guards against calls and log lines of an entry whose deployment sets no bound.
func TestLoopWithoutBoundMakesNoCalls(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var p pair
		p.start(ctx, 0)
		time.Sleep(time.Minute)
		is.True(p.fresh(0) && p.fresh(1))
		cancel()
		synctest.Wait()
		is.Equal(p.reads.Load()+p.questions.Load(), int64(0))
		is.Equal(p.logged.String(), "")
		is.Equal(len(p.metrics.ListMetricNames()), 0)
	})
}
