package heartbeat_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/simclock"
)

// formats returns the formats of the datagrams that an entry sends to another one.
func formats(d *heartbeat.Detector, to heartbeat.Node) []uint8 {
	n := network{to.Peers.String(): make(chan []byte, 10)}
	d.Announce(&packetConn{network: n})
	var out []uint8
	for range len(n[to.Peers.String()]) {
		out = append(out, heartbeat.Format(<-n[to.Peers.String()]))
	}
	return out
}

// Two entries that know format 2 must use it although the first datagram of that format
// is lost, or they would never exchange the fields that only it has.
func TestLossOfFirstDatagramOfFormat2(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newDetector(), newDetector()
		b.Self = func() heartbeat.Node { return node(2, 1) }
		all := []*heartbeat.Detector{a, b}
		a.AddPeer("a-1", node(2, 1).Peers)
		last := []uint8{}
		for round := range 20 {
			for i, from := range all {
				to := all[1-i]
				n := network{to.Self().Peers.String(): make(chan []byte, 10)}
				from.Announce(&packetConn{network: n})
				last = nil
				for range len(n[to.Self().Peers.String()]) {
					data := <-n[to.Self().Peers.String()]
					last = append(last, heartbeat.Format(data))
					if round > 0 || heartbeat.Format(data) == 1 {
						is.NoErr(to.ReceiveDatagram(time.Now(), data))
					}
				}
			}
			time.Sleep(500 * time.Millisecond)
		}
		is.Equal(last, []uint8{2})
	})
}

// An entry that is rolled back to the build before must get format 1, also if another
// entry relays the start of its process before its own first heartbeat.
func TestFormatAfterRollbackThatIsRelayedFirst(t *testing.T) {
	is := is.New(t)
	d := newDetector()
	now := time.Now()
	d.ReceiveFormat(now, heartbeat.Received{Format: 2, Incarnation: 1}, node(2, 1))
	d.ReceiveRelayed(now, node(3, 1), node(2, 2))
	d.ReceiveFormat(now, heartbeat.Received{Format: 1, Incarnation: 2}, node(2, 2))
	got := formats(d, node(2, 2))
	is.True(len(got) > 0)
	is.Equal(got[0], uint8(1))
}
