package beacon

import (
	"cmp"
	"encoding/binary"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// viewTime is how long a view is used; an entry's silence is noticed that late.
const viewTime = 100 * time.Millisecond

type (
	// view is who is alive, by zone. It is made anew when that changes.
	view struct {
		at    time.Time
		ready bool // this entry's own state
		zones map[id.Zone]*zoneView
		// names are the zones of the known entries, and of this one, in order. The
		// empty name stands for those whose zone is not known.
		names []id.Zone
	}

	zoneView struct {
		// members are the entries that are alive, by name, this one included.
		members []*Node
		// others are the same without this entry.
		others []*peer
		// digest stands for who they are, and whether they are ready.
		digest uint64
	}
)

// current returns who is alive.
func (b *Beacon) current(now time.Time, self *Node) *view {
	if v := b.view; v == nil || now.Sub(v.at) >= viewTime || v.ready != self.Ready {
		b.view = b.look(now, self)
	}
	return b.view
}

// zone returns who is alive in a zone.
func (b *Beacon) zone(now time.Time, self *Node, zone id.Zone) *zoneView {
	if z := b.current(now, self).zones[zone]; z != nil {
		return z
	}
	return &zoneView{}
}

// look makes a view.
func (b *Beacon) look(now time.Time, self *Node) *view {
	v := &view{at: now, ready: self.Ready, zones: make(map[id.Zone]*zoneView)}
	names := map[id.Zone]bool{self.Zone: true}
	v.add(self)
	for _, p := range b.known {
		names[p.zone] = true
		if b.isAlive(p, now) {
			z := v.add(&p.node)
			z.others = append(z.others, p)
		}
	}
	v.names = slices.Sorted(maps.Keys(names))
	for _, z := range v.zones {
		slices.SortFunc(z.members, func(x, y *Node) int { return cmp.Compare(x.Instance, y.Instance) })
		z.digest = digest(z.members)
	}
	return v
}

func (v *view) add(n *Node) *zoneView {
	z := v.zones[n.Zone]
	if z == nil {
		z = &zoneView{}
		v.zones[n.Zone] = z
	}
	z.members = append(z.members, n)
	return z
}

func digest(members []*Node) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, n := range members {
		var fields [9]byte
		binary.BigEndian.PutUint64(fields[:], uint64(n.Incarnation))
		if n.Ready {
			fields[8] = 1
		}
		_, _ = d.WriteString(string(n.Instance))
		_, _ = d.Write(fields[:])
	}
	return d.Sum64()
}

// leadersOf returns the addresses of a zone's leaders, without this entry.
func (b *Beacon) leadersOf(now time.Time, self *Node, zone id.Zone) []netip.AddrPort {
	var out []netip.AddrPort
	for _, n := range first(b.zone(now, self, zone).members) {
		if n.Peers != self.Peers {
			out = append(out, n.Peers)
		}
	}
	return out
}

// leads tells whether this entry leads its zone.
func (b *Beacon) leads(now time.Time, self *Node) bool {
	return slices.ContainsFunc(first(b.zone(now, self, self.Zone).members), func(n *Node) bool { return n.Peers == self.Peers })
}

func first(members []*Node) []*Node { return members[:min(len(members), leaders)] }

// states sums up the zones.
func (b *Beacon) states(now time.Time, self *Node) []zoneState {
	var out []zoneState
	for _, zone := range b.current(now, self).names {
		if zone == "" {
			continue
		}
		z := b.zone(now, self, zone)
		s := zoneState{Zone: zone, Digest: z.digest}
		for _, p := range z.others {
			s.Age = max(s.Age, now.Sub(p.heard))
		}
		out = append(out, s)
	}
	return out
}

// targets returns the entries that get this one's beacons: the leaders of its zone,
// and from a leader all of its zone and the leaders of the others. One that is
// silent is tried in each zone, in turn, so that entries find each other.
func (b *Beacon) targets(now time.Time) []netip.AddrPort {
	self := b.Self()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	leads := b.leads(now, &self)
	var out []netip.AddrPort
	for _, zone := range b.current(now, &self).names {
		switch {
		case zone == self.Zone && leads:
			for _, n := range b.zone(now, &self, zone).members {
				if n.Peers != self.Peers {
					out = append(out, n.Peers)
				}
			}
		case zone == self.Zone || leads:
			out = append(out, b.leadersOf(now, &self, zone)...)
		case zone != "":
			continue
		}
		if silent := b.silent(now, zone); len(silent) > 0 {
			out = append(out, silent[b.turn%len(silent)])
		}
	}
	return out
}

// relays returns the entries to which a leader passes news on at once: those of its
// zone that hear of others from it alone, and the leaders of other zones.
func (b *Beacon) relays(now time.Time) []netip.AddrPort {
	self := b.Self()
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.zone(now, &self, self.Zone).members
	if len(own) <= leaders {
		return nil // all have heard at first hand
	}
	var out []netip.AddrPort
	for _, n := range own[leaders:] {
		out = append(out, n.Peers)
	}
	for _, zone := range b.current(now, &self).names {
		if zone != self.Zone && zone != "" {
			out = append(out, b.leadersOf(now, &self, zone)...)
		}
	}
	return out
}

// silent returns the addresses of a zone that are known and not alive, in order.
func (b *Beacon) silent(now time.Time, zone id.Zone) []netip.AddrPort {
	var out []netip.AddrPort
	for addr, p := range b.known {
		if p.zone == zone && !b.isAlive(p, now) {
			out = append(out, addr)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// answer lists the zones that the sender of a beacon knows otherwise than this
// entry: its own zone, and for a sender of that zone all others. An entry that
// leads no zone gets beacons only from those that don't know better, so it answers
// as leaders do. Lists bring no answer.
func (b *Beacon) answer(now time.Time, conn net.PacketConn, m *message) {
	self := b.Self()
	var lists [][]sighting
	b.mu.Lock()
	told := make(map[id.Zone]uint64, len(m.Zones))
	for _, z := range m.Zones {
		told[z.Zone] = z.Digest
	}
	for _, zone := range b.current(now, &self).names {
		ours := zone == self.Zone || m.From.Zone == self.Zone
		if zone != "" && ours && told[zone] != b.zone(now, &self, zone).digest {
			lists = append(lists, b.sightings(now, &self, zone)...)
		}
	}
	b.mu.Unlock()
	for _, list := range lists {
		reply := b.compose(now)
		reply.Zones, reply.Entries = nil, list
		b.write(conn, reply, []netip.AddrPort{m.From.Peers})
	}
}

// sightings lists the entries of a zone that are alive, in parts that fit into
// datagrams.
func (b *Beacon) sightings(now time.Time, self *Node, zone id.Zone) [][]sighting {
	var all []sighting
	for _, p := range b.zone(now, self, zone).others {
		n := p.node
		n.Changes, n.Steady, n.Crashes = nil, 0, nil
		all = append(all, sighting{Node: n, Age: now.Sub(p.heard)})
	}
	if zone == self.Zone {
		n := *self
		n.Changes, n.Steady, n.Crashes = nil, 0, nil
		n.Count = b.count
		all = append(all, sighting{Node: n})
	}
	return slices.Collect(slices.Chunk(all, listed))
}
