package heartbeat_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// datagram1 is a datagram as a build without eras decodes it.
	datagram1 struct {
		_ struct{} `cbor:",toarray"`

		Format        uint8
		From          sender1
		Invalidations map[string]uint64
		Zones         []cbor.RawMessage
		Entries       []cbor.RawMessage
	}

	sender1 struct {
		_ struct{} `cbor:",toarray"`

		Instance          id.Instance
		Incarnation       id.Incarnation
		Count             uint64
		Zone              id.Zone
		Region            id.Region
		Callers           netip.AddrPort
		Peers             netip.AddrPort
		LinkMbps          float64
		Ready             bool
		Changes           map[string]uint64
		StoreAvailableFor time.Duration
		Crashes           []quarantine.CrashReport
	}
)

// serversAt returns the versions of an entry that has applied one change of servers.
func serversAt(era store.Era, revision store.Revision) map[follow.Kind]store.Version {
	return map[follow.Kind]store.Version{follow.Servers: {Era: era, Revision: revision}}
}

// besideFormat1 is an entry beside one of format 1, entry-2, and one of format 2,
// entry-3.
type besideFormat1 struct {
	is      *is.I
	self    heartbeat.Node
	d       *heartbeat.Detector
	network network
	updates []heartbeat.Update
}

func newBesideFormat1(t *testing.T) *besideFormat1 {
	b := &besideFormat1{is: is.New(t), self: node(1, 1), d: newDetector(), network: network{}}
	b.d.Self = func() heartbeat.Node { return b.self }
	b.d.OnUpdate = func(_ time.Time, u heartbeat.Update) { b.updates = append(b.updates, u) }
	for _, n := range []heartbeat.Node{node(2, 1), node(3, 1)} {
		b.d.AddPeer(n.Zone, n.Peers)
		b.network[n.Peers.String()] = make(chan []byte, 100)
	}
	return b
}

// receive1 receives a heartbeat of the entry of format 1 with a change.
func (b *besideFormat1) receive1(revision uint64) {
	from := node(2, 1)
	data, err := cbor.Marshal(&datagram1{Format: 1, From: sender1{
		Instance: from.Instance, Incarnation: from.Incarnation, Zone: from.Zone, Region: from.Region, Callers: from.Callers, Peers: from.Peers,
		Changes: map[string]uint64{"servers": revision},
	}, Invalidations: map[string]uint64{"servers": revision}})
	b.is.NoErr(err)
	b.is.NoErr(b.d.ReceiveDatagram(time.Now(), data))
}

// receive2 receives a heartbeat of the entry of format 2 with a change.
func (b *besideFormat1) receive2(changes map[follow.Kind]store.Version) {
	from := node(3, 1)
	from.Changes = changes
	b.d.Receive(time.Now(), from)
}

// announce sends a heartbeat to both entries.
func (b *besideFormat1) announce() {
	for _, inbox := range b.network {
		for len(inbox) > 0 {
			<-inbox
		}
	}
	b.d.Announce(&packetConn{network: b.network})
}

// sent1 sends a heartbeat and returns the datagram to the entry of format 1.
func (b *besideFormat1) sent1() *datagram1 {
	b.announce()
	var out datagram1
	b.is.NoErr(cbor.Unmarshal(<-b.network[node(2, 1).Peers.String()], &out))
	return &out
}

// sent2 sends a heartbeat and returns what an entry of format 2 receives.
func (b *besideFormat1) sent2() (heartbeat.Node, heartbeat.Update) {
	b.announce()
	receiver := newDetector()
	var got heartbeat.Update
	receiver.Self = func() heartbeat.Node { return node(3, 1) }
	receiver.OnUpdate = func(_ time.Time, u heartbeat.Update) { got = u }
	b.is.NoErr(receiver.ReceiveDatagram(time.Now(), <-b.network[node(3, 1).Peers.String()]))
	return receiver.Alive(time.Now())[0], got
}

// Before the first restore, entries of both formats must tell each other of changes.
func TestFormatsBesideEachOtherBeforeARestore(t *testing.T) {
	b := newBesideFormat1(t)
	b.receive1(900)
	b.receive2(serversAt(0, 880))
	b.is.Equal(b.updates[0].Changes, serversAt(0, 900))
	b.self.Changes = serversAt(0, 905)
	got := b.sent1()
	b.is.Equal(got.From.Changes, map[string]uint64{"servers": 905})
	b.is.Equal(got.Invalidations, map[string]uint64{"servers": 905})
	n, u := b.sent2()
	b.is.Equal(n.Changes, serversAt(0, 905))
	b.is.Equal(u.Changes, serversAt(0, 905))
}

// After a restore, an entry of format 1 must not compare its revisions with those of the
// later era, and must go on reading heartbeats; entries of format 2 must not take its
// revisions for newer ones.
func TestFormatsBesideEachOtherAfterARestore(t *testing.T) {
	b := newBesideFormat1(t)
	b.receive1(900)
	b.receive2(serversAt(0, 900))
	b.self.Changes = serversAt(2, 880)
	b.self.StoreAvailableFor = time.Second
	got := b.sent1()
	b.is.True(got.From.Changes != nil) // a report without changes would count as relayed
	b.is.Equal(len(got.From.Changes), 0)
	b.is.Equal(len(got.Invalidations), 0)
	b.is.Equal(got.From.StoreAvailableFor, time.Second)
	b.receive1(950)
	n, u := b.sent2()
	b.is.Equal(n.Changes, serversAt(2, 880))
	b.is.Equal(u.Changes, serversAt(2, 880))
}

// A change of a later era must be relayed although its revision is lower than the
// newest known, and the newest known must not be relayed any more.
func TestInvalidationsOfALaterEraReplaceEarlierOnes(t *testing.T) {
	b := newBesideFormat1(t)
	b.self.Changes = serversAt(1, 900)
	b.receive2(serversAt(1, 905))
	_, u := b.sent2()
	b.is.Equal(u.Changes, serversAt(1, 900))
	b.d.ReceiveInvalidations(time.Now(), node(3, 1), serversAt(2, 870))
	_, u = b.sent2()
	b.is.Equal(u.Changes, serversAt(2, 870))
	b.d.ReceiveInvalidations(time.Now(), node(3, 1), serversAt(1, 950))
	_, u = b.sent2()
	b.is.Equal(u.Changes, serversAt(2, 870))
}
