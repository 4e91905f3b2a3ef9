package heartbeat

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// format1 is the layout of a message as a CBOR array, which leaves no room for
	// further fields. It is sent to entries that haven't sent a later one.
	format1 = 1
	// cborMajorType masks the type in the first byte of a CBOR item; cborArray is that
	// of arrays.
	cborMajorType = 0xe0
	cborArray     = 0x80
)

type (
	message1 struct {
		_ struct{} `cbor:",toarray"`

		Format        uint8
		From          node1
		Invalidations map[follow.Kind]store.Version
		Zones         []zoneState
		Entries       []relayedNode1
	}

	node1 struct {
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
		Changes           map[follow.Kind]store.Version
		StoreAvailableFor time.Duration
		Crashes           []quarantine.CrashReport
	}

	relayedNode1 struct {
		_ struct{} `cbor:",toarray"`

		Node node1
		Age  time.Duration
	}
)

func newMessage1(m *message) *message1 {
	out := &message1{Format: format1, From: newNode1(&m.From), Invalidations: m.Invalidations, Zones: m.Zones}
	for i := range m.Entries {
		out.Entries = append(out.Entries, relayedNode1{Node: newNode1(&m.Entries[i].Node), Age: m.Entries[i].Age})
	}
	return out
}

func newNode1(n *Node) node1 {
	return node1{
		Instance: n.Instance, Incarnation: n.Incarnation, Count: n.Count, Zone: n.Zone, Region: n.Region, Callers: n.Callers,
		Peers: n.Peers, LinkMbps: n.LinkMbps, Ready: n.Ready, Changes: n.Changes, StoreAvailableFor: n.StoreAvailableFor, Crashes: n.Crashes,
	}
}

func (n *node1) node() Node {
	return Node{
		Instance: n.Instance, Incarnation: n.Incarnation, Count: n.Count, Zone: n.Zone, Region: n.Region, Callers: n.Callers,
		Peers: n.Peers, LinkMbps: n.LinkMbps, Ready: n.Ready, Changes: n.Changes, StoreAvailableFor: n.StoreAvailableFor, Crashes: n.Crashes,
	}
}

func decode1(data []byte) (*message, error) {
	var m message1
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, eris.Wrap(err, "decode heartbeat of format 1")
	}
	if m.Format != format1 {
		return nil, eris.Errorf("heartbeat format %d in an array, want %d", m.Format, format1)
	}
	out := &message{Format: format1, From: m.From.node(), Invalidations: m.Invalidations, Zones: m.Zones}
	for i := range m.Entries {
		out.Entries = append(out.Entries, relayedNode{Node: m.Entries[i].Node.node(), Age: m.Entries[i].Age})
	}
	return out, nil
}
