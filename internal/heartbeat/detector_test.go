package heartbeat_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const timeout = 2 * time.Second

var start = time.Unix(1000, 0)

func node(n int, incarnation id.Incarnation) heartbeat.Node {
	return heartbeat.Node{
		Instance: id.Instance(fmt.Sprintf("entry-%d", n)), Incarnation: incarnation, Ready: true, Zone: "a-1", Region: "a",
		Callers: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", n)), Peers: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:90", n)),
	}
}

func newDetector() *heartbeat.Detector {
	return &heartbeat.Detector{
		Self: func() heartbeat.Node { return node(1, 1) }, Interval: 500 * time.Millisecond, Timeout: timeout,
		Log: slog.New(slog.DiscardHandler),
	}
}

func TestAlive(t *testing.T) {
	leaving := node(2, 2)
	leaving.Ready = false
	tests := map[string]struct {
		received []heartbeat.Node
		age      time.Duration
		want     []heartbeat.Node
	}{
		"heartbeat received":                     {[]heartbeat.Node{node(2, 1)}, timeout, []heartbeat.Node{node(2, 1)}},
		"silent":                                 {[]heartbeat.Node{node(2, 1)}, timeout + 1, nil},
		"itself":                                 {[]heartbeat.Node{node(1, 1)}, 0, nil},
		"without an address":                     {[]heartbeat.Node{{Instance: "entry-2"}}, 0, nil},
		"graceful shutdown":                      {[]heartbeat.Node{node(2, 2), leaving}, 0, []heartbeat.Node{leaving}},
		"late heartbeat of an earlier process":   {[]heartbeat.Node{node(2, 2), node(2, 1)}, 0, []heartbeat.Node{node(2, 2)}},
		"later process replaces the earlier one": {[]heartbeat.Node{leaving, node(2, 3)}, 0, []heartbeat.Node{node(2, 3)}},
		"several, sorted by name":                {[]heartbeat.Node{node(3, 1), node(2, 1)}, 0, []heartbeat.Node{node(2, 1), node(3, 1)}},
		"ready, then not ready":                  {[]heartbeat.Node{node(2, 2), leaving, leaving}, 0, []heartbeat.Node{leaving}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDetector()
			for _, n := range tt.received {
				d.Receive(start, n)
			}
			is.Equal(d.Alive(start.Add(tt.age)), tt.want)
		})
	}
}

// Crash reports in a late heartbeat of an earlier process must not be delivered.
func TestHeartbeatOfEarlierProcessIsDropped(t *testing.T) {
	is := is.New(t)
	d := newDetector()
	var received []int
	d.OnUpdate = func(_ time.Time, u heartbeat.Update) { received = append(received, len(u.Crashes)) }
	late := node(2, 1)
	late.Crashes = make([]quarantine.CrashReport, 1)
	d.Receive(start, node(2, 2))
	d.Receive(start, late)
	is.Equal(received, []int{0})
}

// A process that is stopped before Run has started must still announce it.
func TestAnnounceBeforeRun(t *testing.T) {
	is := is.New(t)
	d := newDetector()
	d.AddPeer("a-1", node(2, 1).Peers)
	n := network{node(2, 1).Peers.String(): make(chan []byte, 1)}
	d.Announce(&packetConn{network: n})
	is.Equal(len(n[node(2, 1).Peers.String()]), 1)
}

// A change that other entries may have missed must be announced at once, not at the next
// interval.
func TestAnnounceSoon(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		d := newDetector()
		d.AnnounceSoon() // before Run, without effect
		d.Interval = time.Hour
		other := node(2, 1).Peers
		d.AddPeer("a-1", other)
		n := network{other.String(): make(chan []byte, 100), node(1, 1).Peers.String(): make(chan []byte)}
		go func() {
			_ = d.Run(ctx, &packetConn{network: n, address: node(1, 1).Peers.String(), ended: make(chan struct{})})
		}()
		synctest.Wait()
		one := len(n[other.String()]) // the first of the interval, in each format
		is.True(one > 0)
		d.AnnounceSoon()
		synctest.Wait()
		is.Equal(len(n[other.String()]), 2*one)
		for range 100 {
			d.AnnounceSoon()
		}
		time.Sleep(time.Second)
		is.True(len(n[other.String()]) <= 4*one) // bounded
		cancel()
		synctest.Wait()
	})
}

// network carries datagrams between packet connections in memory.
type network map[string]chan []byte

type packetConn struct {
	net.PacketConn
	network network
	address string
	ended   chan struct{}
}

func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	select {
	case c.network[to.String()] <- append([]byte(nil), p...):
	default:
	}
	return len(p), nil
}

func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case data := <-c.network[c.address]:
		return copy(p, data), nil, nil
	case <-c.ended:
		return 0, nil, net.ErrClosed
	}
}

func (c *packetConn) SetReadDeadline(time.Time) error {
	close(c.ended)
	return nil
}

func TestEntriesDiscoverEachOtherThroughOneKnownPeer(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const entries = 3
		n := network{}
		var all []*heartbeat.Detector
		for i := 1; i <= entries; i++ {
			self := node(i, 1)
			n[self.Peers.String()] = make(chan []byte, 100)
			d := newDetector()
			d.Self = func() heartbeat.Node { return self }
			all = append(all, d)
		}
		// Only the first entry knows the addresses of the others.
		all[0].AddPeer("a-1", node(2, 1).Peers)
		all[0].AddPeer("a-1", node(3, 1).Peers)
		for i, d := range all {
			conn := &packetConn{network: n, address: node(i+1, 1).Peers.String(), ended: make(chan struct{})}
			go func() { _ = d.Run(ctx, conn) }()
		}
		time.Sleep(1200 * time.Millisecond)
		is.Equal(len(all[0].Alive(time.Now())), 2)
		is.Equal(len(all[1].Alive(time.Now())), 2)
		is.Equal(len(all[2].Alive(time.Now())), 2)
		cancel()
		synctest.Wait()
	})
}
