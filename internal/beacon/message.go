package beacon

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// format is the version of a datagram's layout. Others are left out.
	format = 1
	// maxDatagram is the longest datagram that is read, in bytes.
	maxDatagram = 4096
	// listed is how many entries one datagram lists, so that it stays within one
	// packet of 1,400 bytes: 64 bytes and three short names each.
	listed = 10
)

type (
	// message is one datagram.
	message struct {
		_ struct{} `cbor:",toarray"`

		Format uint8
		// From is what the sender says of itself.
		From Node
		// Hints are the newest changes of the store that the sender has heard of,
		// its own included.
		Hints map[follow.Kind]store.Version
		// Zones tells what the sender knows of each availability zone.
		Zones []zoneState
		// Entries are those of one zone that the receiver doesn't know as the
		// sender does; empty in most messages.
		Entries []sighting
	}

	// zoneState sums up the entries of a zone that are alive.
	zoneState struct {
		_ struct{} `cbor:",toarray"`

		Zone id.Zone
		// Digest stands for who they are, and whether they are ready.
		Digest uint64
		// Age is how long ago the first of them was heard last.
		Age time.Duration
	}

	// sighting is an entry of which the sender has heard.
	sighting struct {
		_ struct{} `cbor:",toarray"`

		Node Node
		// Age is how long ago it was heard.
		Age time.Duration
	}
)

// encode keeps fractions of seconds, which order the news of crashes.
func encode(m *message) ([]byte, error) {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "prepare the codec of beacons")
	}
	data, err := mode.Marshal(m)
	return data, eris.Wrap(err, "encode beacon")
}

func decode(data []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, eris.Wrap(err, "decode beacon")
	}
	if m.Format != format {
		return nil, eris.Errorf("beacon of format %d, want %d", m.Format, format)
	}
	return &m, nil
}

// valid tells whether the addresses are there.
func (n *Node) valid() bool { return n.Peers.IsValid() && n.Callers.IsValid() }
