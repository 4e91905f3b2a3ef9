package heartbeat_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// newZones returns a deployment that counts the bytes sent.
func newZones(t *testing.T, entries, zones int) *deployment {
	d := &deployment{t: t, rng: rand.New(rand.NewPCG(1, 0)), byAddr: make(map[string]*member), bytes: make(map[string]int64), sentBy: make(map[id.Instance]int64)}
	for i := range entries {
		zone, addr := i%zones, fmt.Sprintf("10.%d.%d.%d", i%zones, i/200, 1+i%200)
		m := &member{deployment: d, inbox: make(chan []byte, 5000), self: heartbeat.Node{
			Instance: id.Instance(fmt.Sprintf("entry-%d-%03d", zone, i/zones)), Zone: id.Zone(fmt.Sprintf("z-%d", zone)), Region: "a",
			Callers: netip.MustParseAddrPort(addr + ":80"), Peers: netip.MustParseAddrPort(addr + ":90"),
		}}
		m.ready.Store(true)
		d.entries = append(d.entries, m)
		d.byAddr[m.self.Peers.String()] = m
	}
	return d
}

// rates returns and resets the bytes a second by kind, in sum and of the busiest entry.
func (d *deployment) rates(span time.Duration) (kinds map[string]int64, all, busiest int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kinds = make(map[string]int64)
	for kind, n := range d.bytes {
		kinds[kind] = n * int64(time.Second) / int64(span)
		all += kinds[kind]
	}
	for _, n := range d.sentBy {
		busiest = max(busiest, n*int64(time.Second)/int64(span))
	}
	clear(d.bytes)
	clear(d.sentBy)
	return kinds, all, busiest
}

// A change of one entry must not make whole lists go to all entries: their bytes grow with the
// square of the number of entries. 300 entries take a minute and are not run each time.
func TestBytes(t *testing.T) {
	phases := []struct {
		name  string
		span  time.Duration
		lists bool // lists may exceed heartbeats
		play  func(ctx context.Context, d *deployment)
	}{
		{"start of all", 10 * time.Second, true, func(ctx context.Context, d *deployment) {
			for _, m := range d.entries {
				d.start(ctx, m)
			}
			time.Sleep(10 * time.Second)
		}},
		{"quiet", 5 * time.Second, false, func(context.Context, *deployment) { time.Sleep(5 * time.Second) }},
		{"ten changes of the store a second", 5 * time.Second, false, func(_ context.Context, d *deployment) {
			for i := range 50 {
				d.entries[i%len(d.entries)].change.Store(uint64(100 + i))
				time.Sleep(100 * time.Millisecond)
			}
		}},
		{"four changes of readiness a second", 5 * time.Second, false, func(_ context.Context, d *deployment) {
			for i := range 10 {
				m := d.entries[(i*7+5)%len(d.entries)]
				m.ready.Store(false)
				time.Sleep(250 * time.Millisecond)
				m.ready.Store(true)
				time.Sleep(250 * time.Millisecond)
			}
		}},
		{"restarts, 5% of datagrams lost", 10 * time.Second, false, func(ctx context.Context, d *deployment) {
			d.mu.Lock()
			d.loss = 0.05
			d.mu.Unlock()
			for i := range 5 {
				m := d.entries[(i*5+3)%len(d.entries)]
				m.cancel()
				time.Sleep(time.Second)
				d.start(ctx, m)
				time.Sleep(time.Second)
			}
		}},
	}
	for _, entries := range []int{33, 98} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				d := newZones(t, entries, 6)
				for _, phase := range phases {
					phase.play(ctx, d)
					kinds, all, busiest := d.rates(phase.span)
					t.Logf("%s: %.1f KB/s an entry, busiest %.1f KB/s, B/s by kind %v", phase.name, float64(all)/float64(1000*entries), float64(busiest)/1000, kinds)
					is.True(phase.lists || kinds["list"]+kinds["list1"] <= kinds["beat"])
				}
				cancel()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
