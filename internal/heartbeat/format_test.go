package heartbeat_test

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/quarantine"
)

// heartbeat1 is a datagram that a build without format 2 sent.
const heartbeat1 = "85018c67656e7472792d32070963612d316161460a0000025000460a0000025a00fb408f400000000000f5a167736572766572730c1ab2d05e00" +
	"81a46b66696e6765727072696e7450010000000000000000000000000000006473656e6463732d3168696e7374616e636567656e7472792d32" +
	"626174781e313937302d30312d30315430303a31363a34302e3030303030303030355aa167736572766572730c818363612d31051a3b9aca00f6"

// A datagram of format 1 must be read completely, and be written as an entry without
// format 2 reads it.
func TestFormat1(t *testing.T) {
	is := is.New(t)
	data, err := hex.DecodeString(heartbeat1)
	is.NoErr(err)
	d := newDetector()
	var got heartbeat.Update
	d.OnUpdate = func(_ time.Time, u heartbeat.Update) { got = u }
	is.NoErr(d.ReceiveDatagram(start, data))
	alive := d.Alive(start)
	is.Equal(len(alive), 1)
	sent := alive[0]
	is.Equal(sent.Callers, node(2, 7).Callers)
	is.Equal(sent.LinkMbps, 1000.0)
	is.Equal(sent.StoreAvailableFor, 3*time.Second)
	is.Equal(got.Changes["servers"], sent.Changes["servers"])
	is.Equal(got.Crashes, []quarantine.CrashReport{{Fingerprint: quarantine.Fingerprint{1}, Send: "s-1", Instance: "entry-2", At: time.Unix(1000, 5).UTC()}})
	again, err := heartbeat.EncodeFormat1(data)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(again), heartbeat1)
}

// An entry must get the latest format alone only if its process has sent it.
func TestFormatsSent(t *testing.T) {
	tests := map[string]struct {
		received []heartbeat.Received
		after    time.Duration
		want     []uint8
	}{
		"unknown":                      {nil, 0, []uint8{1, 2}},
		"sends format 1":               {[]heartbeat.Received{{Format: 1, Incarnation: 1}}, 0, []uint8{1, 2}},
		"sends format 2":               {[]heartbeat.Received{{Format: 2, Incarnation: 1}}, 0, []uint8{2}},
		"sends both":                   {[]heartbeat.Received{{Format: 2, Incarnation: 1}, {Format: 1, Incarnation: 1}}, 0, []uint8{2}},
		"silent":                       {[]heartbeat.Received{{Format: 2, Incarnation: 1}}, time.Minute, []uint8{1, 2}},
		"replaced by the build before": {[]heartbeat.Received{{Format: 2, Incarnation: 1}, {Format: 1, Incarnation: 2}}, 0, []uint8{1, 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDetector()
			to := node(2, 1)
			d.AddPeer("a-1", to.Peers)
			for _, r := range tt.received {
				d.ReceiveFormat(time.Now().Add(-tt.after), r, to)
			}
			n := network{to.Peers.String(): make(chan []byte, 10)}
			d.Announce(&packetConn{network: n})
			var got []uint8
			for range len(n[to.Peers.String()]) {
				got = append(got, heartbeat.Format(<-n[to.Peers.String()]))
			}
			is.Equal(got, tt.want)
		})
	}
}
