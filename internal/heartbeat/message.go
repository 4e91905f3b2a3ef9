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
	// latestFormat is the layout of a message as a CBOR map with integer keys.
	// Receivers ignore keys that they don't know, so fields can be added.
	latestFormat = 2
	// maxDatagram is the size of the receive buffer in bytes.
	maxDatagram = 4096
	// maxListed is the maximum number of entries in one datagram. At 64 bytes and
	// three short names each, the datagram fits into a packet of 1,400 bytes.
	maxListed = 10
)

type (
	// message is one datagram.
	message struct {
		Format uint8 `cbor:"1,keyasint"`
		// From is the sender's state.
		From Node `cbor:"2,keyasint"`
		// Invalidations holds the versions of the newest store changes known to the
		// sender, received from the store or from other entries.
		Invalidations map[follow.Kind]store.Version `cbor:"3,keyasint,omitempty"`
		// Zones summarises the sender's view of each availability zone.
		Zones []zoneState `cbor:"4,keyasint,omitempty"`
		// Entries lists the entries of one zone for which the digests of sender
		// and receiver differ; empty in most messages.
		Entries []relayedNode `cbor:"5,keyasint,omitempty"`
		// News holds the entries that have changed lately, in heartbeats of leaders.
		News []relayedNode `cbor:"6,keyasint,omitempty"`
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
		Node Node `cbor:"1,keyasint"`
		// Age is the time since its latest heartbeat.
		Age time.Duration `cbor:"2,keyasint"`
	}
)

// encode keeps fractions of seconds, because crash reports are ordered by time.
func encode(m *message, format uint8) ([]byte, error) {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "create the heartbeat encoder")
	}
	var v any
	if format == format1 {
		v = newMessage1(m)
	} else {
		out := *m
		out.Format = latestFormat
		v = &out
	}
	data, err := mode.Marshal(v)
	return data, eris.Wrap(err, "encode heartbeat")
}

// decode tells the formats apart by their outer CBOR type.
func decode(data []byte) (*message, error) {
	if len(data) > 0 && data[0]&cborMajorType == cborArray {
		return decode1(data)
	}
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, eris.Wrap(err, "decode heartbeat")
	}
	if m.Format != latestFormat {
		return nil, eris.Errorf("heartbeat format %d, want %d or %d", m.Format, format1, latestFormat)
	}
	return &m, nil
}

// valid reports whether both addresses are set.
func (n *Node) valid() bool { return n.Peers.IsValid() && n.Callers.IsValid() }
