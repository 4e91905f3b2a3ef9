package heartbeat

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// format is the version of the datagram layout. Datagrams of other versions
	// are dropped.
	format = 1
	// maxDatagram is the size of the receive buffer in bytes.
	maxDatagram = 4096
	// maxListed is the maximum number of entries in one datagram. At 64 bytes and
	// three short names each, the datagram fits into a packet of 1,400 bytes.
	maxListed = 10
)

type (
	// message is one datagram.
	message struct {
		_ struct{} `cbor:",toarray"`

		Format uint8
		// From is the sender's state.
		From Node
		// Invalidations holds the versions of the newest store changes known to the
		// sender, received from the store or from other entries.
		Invalidations map[follow.Kind]store.Version
		// Zones summarises the sender's view of each availability zone.
		Zones []zoneState
		// Entries lists the entries of one zone for which the digests of sender
		// and receiver differ; empty in most messages.
		Entries []relayedNode
	}

	// zoneState summarises the live entries of a zone.
	zoneState struct {
		_ struct{} `cbor:",toarray"`

		Zone id.Zone
		// Digest is a hash of their names, incarnations and readiness.
		Digest uint64
		// Age is the time since the latest heartbeat of the entry that has been
		// silent longest.
		Age time.Duration
	}

	// relayedNode is the relayed state of another entry.
	relayedNode struct {
		_ struct{} `cbor:",toarray"`

		Node Node
		// Age is the time since its latest heartbeat.
		Age time.Duration
	}
)

// encode keeps fractions of seconds, because crash reports are ordered by time.
func encode(m *message) ([]byte, error) {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "create the heartbeat encoder")
	}
	data, err := mode.Marshal(m)
	return data, eris.Wrap(err, "encode heartbeat")
}

func decode(data []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, eris.Wrap(err, "decode heartbeat")
	}
	if m.Format != format {
		return nil, eris.Errorf("heartbeat format %d, want %d", m.Format, format)
	}
	return &m, nil
}

// valid reports whether both addresses are set.
func (n *Node) valid() bool { return n.Peers.IsValid() && n.Callers.IsValid() }
