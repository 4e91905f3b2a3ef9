package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/packing"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/peer/rpc"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// snapshotMethod is the RPC method that returns a snapshot.
	snapshotMethod = "entry.snapshot"
	// snapshotTimeout limits one call to the beginning of a large answer: several round
	// trips between regions, and the time to encode it.
	snapshotTimeout = time.Second
	// slowLinkShare is the rate of an entry's link from which it is asked for a snapshot, as a
	// share of the fastest one's.
	slowLinkShare = 0.5
	// bootstrapInterval is how often an entry checks whether it needs a snapshot, and
	// bootstrapRetryDelay is the delay after a failed call.
	bootstrapInterval   = 200 * time.Millisecond
	bootstrapRetryDelay = time.Second
)

type (
	// snapshotRequest lists the kinds for which the store is unavailable and another
	// entry may have newer data, with the newest change known to the asking entry.
	snapshotRequest struct {
		Known map[follow.Kind]store.Version `json:"known"`
		// Packed is whether the configuration may be packed.
		Packed bool `json:"packed,omitempty"`
	}

	// snapshot is an entry's data of the requested kinds, where it is newer.
	snapshot struct {
		Configuration *versioned[*Config] `json:"configuration,omitempty"`
		// Packed holds the configuration's JSON instead if it is large.
		Packed         *versioned[[]byte]          `json:"packed,omitempty"`
		Servers        *versioned[[]roster.Server] `json:"servers,omitempty"`
		EvacuatedZones *versioned[[]id.Zone]       `json:"evacuatedZones,omitempty"`
		// Entries are the heartbeat addresses of all entries known to the sender.
		Entries []netip.AddrPort `json:"entries"`
	}

	// singleCalls makes calls that are rare, so that an idle connection would only
	// cost memory and might fall silent unnoticed.
	singleCalls struct{ node *rpc.Node }

	// configPacker packs configurations. It keeps the latest one, since several entries ask
	// for it at the same time. It is safe for concurrent use.
	configPacker struct {
		mu     sync.Mutex
		config *Config
		packed []byte // nil if the configuration is small
	}

	// versioned is the data of one kind as of a change of the store.
	versioned[T any] struct {
		Version store.Version `json:"version"`
		Value   T             `json:"value"`
	}
)

// bootstrap fetches from another entry the data that the store does not deliver, as
// after a start while the store is unavailable. It runs until ctx ends.
func (n *Node) bootstrap(ctx context.Context) {
	delay := bootstrapInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = bootstrapInterval
		missing := n.options.Store.NeedsPeerState()
		if len(missing) == 0 {
			continue
		}
		from, ok := n.bestSource(n.Heartbeats.Alive(time.Now()), missing)
		if !ok {
			continue
		}
		if err := n.fetchSnapshot(ctx, from, missing); err != nil {
			n.options.Log.Warn("snapshot from another entry failed", "instance", from.Instance, "err", err)
			delay = bootstrapRetryDelay
		}
	}
}

// fetchSnapshot requests the missing kinds from another entry and applies the answer.
func (n *Node) fetchSnapshot(ctx context.Context, from heartbeat.Node, missing map[follow.Kind]store.Version) error {
	s, err := n.requestSnapshot(ctx, from.Instance, missing)
	if err != nil {
		return err
	}
	n.applySnapshot(time.Now(), from.Instance, s)
	return nil
}

// requestSnapshot asks another entry for the kinds of which it has newer data.
func (n *Node) requestSnapshot(ctx context.Context, from id.Instance, known map[follow.Kind]store.Version) (*snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	s := new(snapshot)
	if err := (singleCalls{&n.peers}).Call(ctx, from, snapshotMethod, snapshotRequest{Known: known, Packed: true}, s); err != nil {
		return nil, err
	}
	return s, s.unpack()
}

// bestSource returns an entry that has newer data of the most missing kinds. Among these, one that
// is not shutting down is preferred, then one whose link isn't much slower than another one's,
// then one in the same region. Of equal ones it is any, so that entries that lack the same data
// don't all ask the same one.
func (n *Node) bestSource(others []heartbeat.Node, missing map[follow.Kind]store.Version) (heartbeat.Node, bool) {
	newer := func(other *heartbeat.Node) int {
		kinds := 0
		for kind, known := range missing {
			if known.Before(other.Changes[kind]) {
				kinds++
			}
		}
		return kinds
	}
	most := 0
	for i := range others {
		most = max(most, newer(&others[i]))
	}
	if most == 0 {
		return heartbeat.Node{}, false
	}
	others = slices.DeleteFunc(others, func(other heartbeat.Node) bool { return newer(&other) < most })
	if slices.ContainsFunc(others, func(other heartbeat.Node) bool { return other.Ready }) {
		others = slices.DeleteFunc(others, func(other heartbeat.Node) bool { return !other.Ready })
	}
	others = withoutSlowLinks(others)
	local := func(other heartbeat.Node) bool { return other.Region == n.options.Self.Region }
	if slices.ContainsFunc(others, local) {
		others = slices.DeleteFunc(others, func(other heartbeat.Node) bool { return !local(other) })
	}
	return others[rand.IntN(len(others))], true
}

// withoutSlowLinks removes the entries whose link is much slower than another one's.
func withoutSlowLinks(others []heartbeat.Node) []heartbeat.Node {
	fastest := 0.0
	for i := range others {
		fastest = max(fastest, others[i].LinkMbps)
	}
	return slices.DeleteFunc(others, func(other heartbeat.Node) bool {
		return other.LinkMbps > 0 && other.LinkMbps < fastest*slowLinkShare
	})
}

// applySnapshot applies the parts of another entry's snapshot that are newer than the
// data of this entry.
func (n *Node) applySnapshot(now time.Time, from id.Instance, s *snapshot) {
	followers := n.options.Store
	for _, addr := range s.Entries {
		if addr.IsValid() && addr != n.options.Self.Peers {
			n.Heartbeats.AddPeer("", addr)
		}
	}
	n.MarkEntriesListed()
	if p := s.Configuration; p != nil && p.Value != nil && followers[follow.Configuration] != nil {
		followers[follow.Configuration].Bootstrap(p.Version, func() { n.Configure(p.Value) })
	}
	if p := s.EvacuatedZones; p != nil && followers[follow.EvacuatedZones] != nil {
		followers[follow.EvacuatedZones].Bootstrap(p.Version, func() { n.Roster.SetEvacuated(now, zoneSet(p.Value)) })
	}
	if p := s.Servers; p != nil && followers[follow.Servers] != nil {
		followers[follow.Servers].Bootstrap(p.Version, func() {
			n.Roster.Bootstrap(now, p.Value)
			n.MarkServersListed()
		})
	}
	n.options.Log.Info("snapshot taken in", "instance", from, "ready", n.Ready())
}

// answerSnapshot answers a snapshot request of another entry.
func (n *Node) answerSnapshot(_ context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	var req snapshotRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, eris.Wrap(err, "decode what is lacking")
	}
	s := &snapshot{Entries: append(n.Heartbeats.KnownPeers(), n.options.Self.Peers)}
	n.ifNewer(&req, follow.Configuration, func(v store.Version) {
		if c := n.config.Load(); c != nil {
			s.Configuration = &versioned[*Config]{v, c}
		}
	})
	if req.Packed && s.Configuration != nil {
		if packed := n.configPacker.pack(s.Configuration.Value, &n.feedServer.Packer); packed != nil {
			s.Packed, s.Configuration = &versioned[[]byte]{s.Configuration.Version, packed}, nil
		}
	}
	n.ifNewer(&req, follow.Servers, func(v store.Version) {
		s.Servers = &versioned[[]roster.Server]{v, n.Roster.Servers(time.Now())}
	})
	n.ifNewer(&req, follow.EvacuatedZones, func(v store.Version) {
		s.EvacuatedZones = &versioned[[]id.Zone]{v, n.Roster.Evacuated()}
	})
	return s, nil
}

// pack returns the packed JSON of a configuration, nil if it is small or can't be packed.
func (p *configPacker) pack(c *Config, by *packing.Packer) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config == c {
		return p.packed
	}
	p.config, p.packed = c, nil
	if raw, err := json.Marshal(c); err == nil && len(raw) >= packing.MinSize {
		if packed, err := by.Pack(raw); err == nil {
			p.packed = packed
		}
	}
	return p.packed
}

// unpack replaces a packed configuration by the configuration.
func (s *snapshot) unpack() error {
	if s.Packed == nil {
		return nil
	}
	raw, err := packing.Unpack(s.Packed.Value)
	if err != nil {
		return eris.Wrap(err, "unpack the configuration")
	}
	s.Configuration = &versioned[*Config]{Version: s.Packed.Version}
	s.Packed = nil
	return eris.Wrap(json.Unmarshal(raw, &s.Configuration.Value), "decode the configuration")
}

// ifNewer calls read with the version of a kind if the kind is requested and this
// entry has a newer version of it.
func (n *Node) ifNewer(req *snapshotRequest, kind follow.Kind, read func(store.Version)) {
	known, requested := req.Known[kind]
	f := n.options.Store[kind]
	if f == nil || !requested {
		return
	}
	f.Capture(func(v store.Version) {
		if known.Before(v) {
			read(v)
		}
	})
}

// Call calls another entry, and then closes the connection to it.
func (c singleCalls) Call(ctx context.Context, to id.Instance, method string, params, result any) error {
	defer c.node.Drop(to)
	return c.node.Call(ctx, to, method, params, result)
}

// dialPeer connects to another live entry.
func (n *Node) dialPeer(ctx context.Context, to id.Instance) (net.Conn, error) {
	alive := n.Heartbeats.Alive(time.Now())
	i := slices.IndexFunc(alive, func(other heartbeat.Node) bool { return other.Instance == to })
	if i < 0 {
		return nil, eris.Errorf("instance %s is not alive", to)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", alive[i].Peers.String())
}

func zoneSet(zones []id.Zone) map[id.Zone]bool {
	set := make(map[id.Zone]bool, len(zones))
	for _, zone := range zones {
		set[zone] = true
	}
	return set
}
