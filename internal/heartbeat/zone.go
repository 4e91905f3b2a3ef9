package heartbeat

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

// viewTTL is how long a view is cached; it delays the detection of a silent entry
// by up to that time.
const viewTTL = 100 * time.Millisecond

type (
	// view holds the live entries by zone. It is rebuilt when they change.
	view struct {
		at    time.Time
		ready bool // this entry's readiness when the view was built
		zones map[id.Zone]*zoneView
		// names holds the zones of all known entries, this one included, in order.
		// The empty name represents entries whose zone is unknown.
		names []id.Zone
	}

	zoneView struct {
		// members are the live entries, sorted by name, this one included.
		members []*Node
		// others are the live entries without this one.
		others []*peer
		// digest is a hash of the members' names, incarnations and readiness.
		digest uint64
	}
)

// current returns the cached view, or a new one if it is outdated.
func (d *Detector) current(now time.Time, self *Node) *view {
	if v := d.view; v == nil || now.Sub(v.at) >= viewTTL || v.ready != self.Ready {
		d.view = d.buildView(now, self)
	}
	return d.view
}

// zone returns the live entries of a zone.
func (d *Detector) zone(now time.Time, self *Node, zone id.Zone) *zoneView {
	if z := d.current(now, self).zones[zone]; z != nil {
		return z
	}
	return &zoneView{}
}

func (d *Detector) buildView(now time.Time, self *Node) *view {
	v := &view{at: now, ready: self.Ready, zones: make(map[id.Zone]*zoneView)}
	names := map[id.Zone]bool{self.Zone: true}
	v.add(self)
	for _, p := range d.peers {
		names[p.zone] = true
		if d.isAlive(p, now) {
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

// leadersOf returns the addresses of a zone's leaders, excluding this entry.
func (d *Detector) leadersOf(now time.Time, self *Node, zone id.Zone) []netip.AddrPort {
	var out []netip.AddrPort
	for _, n := range leadersAmong(d.zone(now, self, zone).members) {
		if n.Peers != self.Peers {
			out = append(out, n.Peers)
		}
	}
	return out
}

// isLeader reports whether this entry is a leader of its zone.
func (d *Detector) isLeader(now time.Time, self *Node) bool {
	return slices.ContainsFunc(leadersAmong(d.zone(now, self, self.Zone).members), func(n *Node) bool { return n.Peers == self.Peers })
}

func leadersAmong(members []*Node) []*Node { return members[:min(len(members), leadersPerZone)] }

// zoneStates summarises the live entries of each known zone.
func (d *Detector) zoneStates(now time.Time, self *Node) []zoneState {
	var out []zoneState
	for _, zone := range d.current(now, self).names {
		if zone == "" {
			continue
		}
		z := d.zone(now, self, zone)
		s := zoneState{Zone: zone, Digest: z.digest}
		for _, p := range z.others {
			s.Age = max(s.Age, now.Sub(p.lastSeen))
		}
		out = append(out, s)
	}
	return out
}

// targets returns the recipients of this entry's heartbeats: the leaders of its
// zone, or, for a leader, all entries of its zone and the leaders of the others.
// One silent entry of each of these zones, and one whose zone is unknown, is added
// in rotation, so that entries discover each other.
func (d *Detector) targets(now time.Time) []netip.AddrPort {
	self := d.Self()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.round++
	leads := d.isLeader(now, &self)
	var out []netip.AddrPort
	for _, zone := range d.current(now, &self).names {
		switch {
		case zone == self.Zone && leads:
			for _, n := range d.zone(now, &self, zone).members {
				if n.Peers != self.Peers {
					out = append(out, n.Peers)
				}
			}
		case zone == self.Zone || leads:
			out = append(out, d.leadersOf(now, &self, zone)...)
		case zone != "":
			continue
		}
		if silent := d.silentIn(now, zone); len(silent) > 0 {
			out = append(out, silent[d.round%len(silent)])
		}
	}
	return out
}

// relayTargets returns the recipients to which a leader relays a change immediately:
// the entries of its zone that are not leaders, which receive only relayed reports
// about other entries, and the leaders of other zones.
func (d *Detector) relayTargets(now time.Time) []netip.AddrPort {
	self := d.Self()
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.zone(now, &self, self.Zone).members
	if len(own) <= leadersPerZone {
		return nil // all entries received the change directly
	}
	out := followersAmong(own)
	for _, zone := range d.current(now, &self).names {
		if zone != self.Zone && zone != "" {
			out = append(out, d.leadersOf(now, &self, zone)...)
		}
	}
	return out
}

// zoneTargets returns the entries of the zone that are not leaders.
func (d *Detector) zoneTargets(now time.Time) []netip.AddrPort {
	self := d.Self()
	d.mu.Lock()
	defer d.mu.Unlock()
	return followersAmong(d.zone(now, &self, self.Zone).members)
}

func followersAmong(members []*Node) []netip.AddrPort {
	var out []netip.AddrPort
	for _, n := range members[len(leadersAmong(members)):] {
		out = append(out, n.Peers)
	}
	return out
}

// silentIn returns the known addresses of a zone that are not alive, in order.
func (d *Detector) silentIn(now time.Time, zone id.Zone) []netip.AddrPort {
	var out []netip.AddrPort
	for addr, p := range d.peers {
		if p.zone == zone && !d.isAlive(p, now) {
			out = append(out, addr)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// answer sends this entry's lists of the zones whose digest differs in the received
// heartbeat: of its own zone, and of all zones if the sender is in its zone. An
// entry that is no leader answers too, unless the sender is a leader that knows as much:
// other senders have an outdated view. Messages that carry a list are not answered.
func (d *Detector) answer(now time.Time, conn net.PacketConn, m *message) {
	self := d.Self()
	var lists [][]relayedNode
	d.mu.Lock()
	reported := make(map[id.Zone]uint64, len(m.Zones))
	for _, z := range m.Zones {
		reported[z.Zone] = z.Digest
	}
	informed := d.informed(now, &self, &m.From)
	for _, zone := range d.current(now, &self).names {
		relevant := zone != "" && !informed && (zone == self.Zone || m.From.Zone == self.Zone)
		theirs, ours := reported[zone], d.zone(now, &self, zone).digest
		if relevant && theirs != ours && d.mayList(now, listKey{m.From.Peers, zone}, ours, theirs) {
			lists = append(lists, d.relayedNodes(now, &self, zone)...)
		}
	}
	d.mu.Unlock()
	for _, list := range lists {
		reply := d.compose(now)
		reply.Zones, reply.Entries, reply.News = nil, list, nil
		d.write(conn, reply, []netip.AddrPort{m.From.Peers})
	}
}

// relayedNodes returns the live entries of a zone in chunks that fit into datagrams.
func (d *Detector) relayedNodes(now time.Time, self *Node, zone id.Zone) [][]relayedNode {
	var all []relayedNode
	for _, p := range d.zone(now, self, zone).others {
		all = append(all, relayedNode{Node: relayed(p.node), Age: now.Sub(p.lastSeen)})
	}
	if zone == self.Zone {
		n := relayed(*self)
		n.Count = d.count
		all = append(all, relayedNode{Node: n})
	}
	return slices.Collect(slices.Chunk(all, maxListed))
}

// relayed returns the state of an entry without the fields that are not relayed.
func relayed(n Node) Node {
	n.Changes, n.StoreAvailableFor, n.Crashes, n.CrashDigest, n.Limits, n.Unreached = nil, 0, nil, 0, nil, nil
	n.StoreContact = nil
	return n
}
