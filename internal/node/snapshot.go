package node

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/beacon"
	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// snapshotMethod asks another entry for a snapshot.
	snapshotMethod = "entry.snapshot"
	// snapshotTime bounds one such call: some round trips between regions, and
	// the time to send some hundred kilobytes over a small link.
	snapshotTime = time.Second
	// relayTime is how often an entry looks whether it lacks anything, and
	// relayPause is the pause after a call that failed.
	relayTime  = 200 * time.Millisecond
	relayPause = time.Second
)

type (
	// lack is what an entry asks for: the kinds of which the store doesn't tell
	// it what another entry may know, with the newest change that it knows.
	lack struct {
		Known map[follow.Kind]store.Version `json:"known"`
	}

	// snapshot is what an entry knows of the kinds that another one lacks.
	snapshot struct {
		Configuration  *part[*Config]         `json:"configuration,omitempty"`
		Servers        *part[[]roster.Server] `json:"servers,omitempty"`
		EvacuatedZones *part[[]id.Zone]       `json:"evacuatedZones,omitempty"`
		// Entries are the addresses for beacons of the entries that it knows.
		Entries []netip.AddrPort `json:"entries"`
	}

	// part is what is known of one kind, up to date with a change.
	part[T any] struct {
		Version store.Version `json:"version"`
		Value   T             `json:"value"`
	}
)

// relay takes over from another entry what the store doesn't tell this one, as at
// a start while the store is away, until ctx ends.
func (n *Node) relay(ctx context.Context) {
	pause := relayTime
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = relayTime
		missing := n.options.Store.Missing()
		if len(missing) == 0 {
			continue
		}
		from, ok := n.best(n.Beacon.Alive(time.Now()), missing)
		if !ok {
			continue
		}
		if err := n.takeOver(ctx, from, missing); err != nil {
			n.options.Log.Warn("no snapshot from another entry", "instance", from.Instance, "err", err)
			pause = relayPause
		}
	}
}

// takeOver asks another entry for what is missing.
func (n *Node) takeOver(ctx context.Context, from beacon.Node, missing map[follow.Kind]store.Version) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTime)
	defer cancel()
	var s snapshot
	err := n.peers.Call(ctx, from.Instance, snapshotMethod, lack{Known: missing}, &s)
	// Snapshots are rare; a connection that is kept would cost memory.
	n.peers.Drop(from.Instance)
	if err != nil {
		return err
	}
	n.adopt(time.Now(), from.Instance, &s)
	return nil
}

// best returns the entry that knows newer changes of most of the missing kinds.
// Of several, one that is not about to stop comes first, then one of the own
// region.
func (n *Node) best(others []beacon.Node, missing map[follow.Kind]store.Version) (beacon.Node, bool) {
	newer := func(other *beacon.Node) int {
		kinds := 0
		for kind, known := range missing {
			if other.Changes[kind] > known {
				kinds++
			}
		}
		return kinds
	}
	others = slices.DeleteFunc(others, func(other beacon.Node) bool { return newer(&other) == 0 })
	if len(others) == 0 {
		return beacon.Node{}, false
	}
	return slices.MaxFunc(others, func(a, b beacon.Node) int {
		return cmp.Or(
			cmp.Compare(newer(&a), newer(&b)), compareBool(a.Ready, b.Ready),
			compareBool(a.Region == n.options.Self.Region, b.Region == n.options.Self.Region),
		)
	}), true
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// adopt takes in what another entry knows, where it is newer than what this one
// does.
func (n *Node) adopt(now time.Time, from id.Instance, s *snapshot) {
	known := n.options.Store
	for _, addr := range s.Entries {
		if addr.IsValid() && addr != n.options.Self.Peers {
			n.Beacon.Meet("", addr)
		}
	}
	n.EntriesListed()
	if p := s.Configuration; p != nil && p.Value != nil && known[follow.Configuration] != nil {
		known[follow.Configuration].Adopt(p.Version, func() { n.Configure(p.Value) })
	}
	if p := s.EvacuatedZones; p != nil && known[follow.EvacuatedZones] != nil {
		known[follow.EvacuatedZones].Adopt(p.Version, func() { n.Roster.Evacuate(now, zoneSet(p.Value)) })
	}
	if p := s.Servers; p != nil && known[follow.Servers] != nil {
		known[follow.Servers].Adopt(p.Version, func() {
			n.Roster.Replace(now, p.Value)
			n.Listed()
		})
	}
	n.options.Log.Info("snapshot taken in", "instance", from, "ready", n.Ready())
}

// answerSnapshot answers another entry with what it lacks.
func (n *Node) answerSnapshot(_ context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	var asked lack
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, eris.Wrap(err, "decode what is lacking")
	}
	s := &snapshot{Entries: append(n.Beacon.Known(), n.options.Self.Peers)}
	n.capture(&asked, follow.Configuration, func(v store.Version) {
		if c := n.config.Load(); c != nil {
			s.Configuration = &part[*Config]{v, c}
		}
	})
	n.capture(&asked, follow.Servers, func(v store.Version) {
		s.Servers = &part[[]roster.Server]{v, n.Roster.Servers(time.Now())}
	})
	n.capture(&asked, follow.EvacuatedZones, func(v store.Version) {
		s.EvacuatedZones = &part[[]id.Zone]{v, n.Roster.Evacuated()}
	})
	return s, nil
}

// capture calls read if this entry knows newer changes of a kind than the asker.
func (n *Node) capture(asked *lack, kind follow.Kind, read func(store.Version)) {
	known, lacking := asked.Known[kind]
	f := n.options.Store[kind]
	if f == nil || !lacking {
		return
	}
	f.Capture(func(v store.Version) {
		if v > known {
			read(v)
		}
	})
}

// dialPeer connects to another entry that is alive.
func (n *Node) dialPeer(ctx context.Context, to id.Instance) (net.Conn, error) {
	alive := n.Beacon.Alive(time.Now())
	i := slices.IndexFunc(alive, func(other beacon.Node) bool { return other.Instance == to })
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
