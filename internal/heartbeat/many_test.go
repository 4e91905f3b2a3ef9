package heartbeat_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Sizes and time limits of the simulated deployment.
const (
	manyZones  = 4
	zoneSize   = 8
	settleTime = 5 * time.Second
	// removalTime is how soon a stopped entry must no longer count as alive: the
	// platform's stable window of 3 s plus 3 s, with nothing reserved for cached
	// answers of the directory.
	removalTime = 6 * time.Second
)

type (
	// deployment is a simulated deployment in which each entry knows the
	// addresses of all others.
	deployment struct {
		t       *testing.T
		rng     *rand.Rand
		mu      sync.Mutex
		loss    float64
		entries []*member
		byAddr  map[string]*member
		// bytes and sentBy count the bytes sent by kind and by entry, unless nil.
		bytes  map[string]int64
		sentBy map[id.Instance]int64
	}

	// member is one entry.
	member struct {
		deployment *deployment
		self       heartbeat.Node
		detector   *heartbeat.Detector
		inbox      chan []byte
		cancel     context.CancelFunc
		sent       atomic.Int64
		ready      atomic.Bool
		starts     atomic.Uint64
		change     atomic.Uint64 // newest store change applied by this entry
		received   atomic.Uint64 // newest store change received in heartbeats
	}

	memberConn struct {
		net.PacketConn
		member *member
		ended  <-chan struct{}
	}
)

func (c *memberConn) WriteTo(p []byte, to net.Addr) (int, error) {
	d := c.member.deployment
	d.mu.Lock()
	lost := d.rng.Float64() < d.loss
	other := d.byAddr[to.String()]
	if d.bytes != nil {
		d.bytes[heartbeat.KindOf(p)] += int64(len(p))
		d.sentBy[c.member.self.Instance] += int64(len(p))
	}
	d.mu.Unlock()
	c.member.sent.Add(1)
	if !lost && other != nil {
		data := append([]byte(nil), p...)
		time.AfterFunc(10*time.Millisecond, func() {
			select {
			case other.inbox <- data:
			default:
			}
		})
	}
	return len(p), nil
}

func (c *memberConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case data := <-c.member.inbox:
		return copy(p, data), nil, nil
	case <-c.ended:
		return 0, nil, net.ErrClosed
	}
}

func (*memberConn) SetReadDeadline(time.Time) error { return nil }

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, rng: rand.New(rand.NewPCG(1, 0)), byAddr: make(map[string]*member)}
	for i := range manyZones * zoneSize {
		zone := i % manyZones
		self := heartbeat.Node{
			Instance: id.Instance(fmt.Sprintf("entry-%d-%02d", zone, i/manyZones)),
			Zone:     id.Zone(fmt.Sprintf("z-%d", zone)), Region: "a",
			Callers: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:80", zone, 100-i)), Peers: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:90", zone, 100-i)),
		}
		m := &member{deployment: d, self: self, inbox: make(chan []byte, 1000)}
		m.ready.Store(true)
		d.entries = append(d.entries, m)
		d.byAddr[self.Peers.String()] = m
	}
	return d
}

// start starts an entry that knows the addresses of all others.
func (d *deployment) start(ctx context.Context, m *member) {
	starts := m.starts.Add(1)
	m.detector = &heartbeat.Detector{Interval: 500 * time.Millisecond, Timeout: 2600 * time.Millisecond, Log: slog.New(slog.DiscardHandler)}
	m.detector.Self = func() heartbeat.Node {
		self := m.self
		self.Ready, self.Incarnation = m.ready.Load(), id.Incarnation(starts)
		self.Changes = map[follow.Kind]store.Version{follow.Servers: {Revision: store.Revision(m.change.Load())}}
		return self
	}
	m.detector.OnUpdate = func(_ time.Time, u heartbeat.Update) {
		m.received.Store(max(m.received.Load(), uint64(u.Changes[follow.Servers].Revision)))
	}
	for _, other := range d.entries {
		if other != m {
			m.detector.AddPeer(other.self.Zone, other.self.Peers)
		}
	}
	ctx, m.cancel = context.WithCancel(ctx)
	go func() { _ = m.detector.Run(ctx, &memberConn{member: m, ended: ctx.Done()}) }()
}

// countAlive returns how many other entries regard an entry as alive and ready.
func (d *deployment) countAlive(of *member) int {
	n := 0
	for _, m := range d.entries {
		if m == of {
			continue
		}
		for _, other := range m.detector.Alive(time.Now()) {
			if other.Instance == of.self.Instance && other.Ready {
				n++
			}
		}
	}
	return n
}

// within waits until a condition holds, and fails the test after limit.
func (d *deployment) within(limit time.Duration, what string, holds func() bool) {
	d.t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// settled reports whether every entry regards all others as alive.
func (d *deployment) settled() bool { return d.firstMissing() == "" }

// firstMissing describes an entry that another one doesn't regard as alive; empty if
// there is none.
func (d *deployment) firstMissing() string {
	for _, m := range d.entries {
		known := make(map[id.Instance]bool)
		for _, other := range m.detector.Alive(time.Now()) {
			known[other.Instance] = true
		}
		for _, other := range d.entries {
			if other != m && !known[other.self.Instance] {
				silent, _ := m.detector.SilentFor(time.Now(), other.self.Peers)
				return fmt.Sprintf("%s doesn't regard %s as alive, silent for %v", m.self.Instance, other.self.Instance, silent)
			}
		}
	}
	return ""
}

func TestManyEntries(t *testing.T) {
	tests := map[string]func(is *is.I, d *deployment){
		"rate of datagrams is bounded": func(is *is.I, d *deployment) {
			var before []int64
			for _, m := range d.entries {
				before = append(before, m.sent.Load())
			}
			time.Sleep(10 * time.Second)
			for i, m := range d.entries {
				rate := float64(m.sent.Load()-before[i]) / 10
				if i/manyZones < 2 {
					is.True(rate <= 2*(zoneSize-1+2*(manyZones-1))) // a leader
				} else {
					is.True(rate <= 2*2)
				}
			}
		},
		"an entry stops": func(_ *is.I, d *deployment) {
			stopped := d.entries[len(d.entries)-1]
			stopped.cancel()
			d.within(removalTime, "the stopped entry is alive for no other", func() bool { return d.countAlive(stopped) == 0 })
		},
		"both leaders of a zone stop": func(is *is.I, d *deployment) {
			for _, leader := range []*member{d.entries[0], d.entries[manyZones]} {
				leader.cancel()
			}
			for range 40 {
				time.Sleep(250 * time.Millisecond)
				for _, m := range d.entries[2*manyZones:] {
					is.True(d.countAlive(m) >= len(d.entries)-3) // all others stay alive
				}
			}
			is.Equal(d.countAlive(d.entries[0]), 0)
		},
		"an entry shuts down gracefully": func(_ *is.I, d *deployment) {
			m := d.entries[len(d.entries)-1]
			m.ready.Store(false)
			d.within(1500*time.Millisecond, "the entry is ready for no other", func() bool { return d.countAlive(m) == 0 })
		},
		"an entry restarts": func(_ *is.I, d *deployment) {
			m := d.entries[len(d.entries)-2]
			m.cancel()
			time.Sleep(10 * time.Second)
			d.start(d.t.Context(), m)
			d.within(3*time.Second, "the entry is alive for all others", func() bool { return d.countAlive(m) == len(d.entries)-1 })
			d.within(3*time.Second, "all entries are alive for each other", d.settled)
		},
		"a store change reaches all entries": func(_ *is.I, d *deployment) {
			d.entries[len(d.entries)-1].change.Store(7)
			d.within(time.Second, "all entries have received the change", func() bool {
				for _, m := range d.entries[:len(d.entries)-1] {
					if m.received.Load() != 7 {
						return false
					}
				}
				return true
			})
		},
		"datagrams are lost": func(is *is.I, d *deployment) {
			d.mu.Lock()
			d.loss = 0.1
			d.mu.Unlock()
			for range 240 {
				time.Sleep(250 * time.Millisecond)
				is.Equal(d.firstMissing(), "")
			}
		},
		"all entries restart": func(_ *is.I, d *deployment) {
			for _, m := range d.entries {
				m.cancel()
			}
			time.Sleep(time.Second)
			for _, m := range d.entries {
				d.start(d.t.Context(), m)
			}
			d.within(settleTime, "all entries are alive for each other", d.settled)
		},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				d := newDeployment(t)
				for _, m := range d.entries {
					d.start(t.Context(), m)
				}
				d.within(settleTime, "all entries are alive for each other", d.settled)
				time.Sleep(settleTime)
				check(is.New(t), d)
				for _, m := range d.entries {
					m.cancel()
				}
				time.Sleep(time.Second)
			})
		})
	}
}
