// Package heartbeat detects which entries of a deployment are alive, by heartbeats
// sent in datagrams.
//
// The first two live entries of each availability zone, by name, are its zone
// leaders. Every entry sends heartbeats to the leaders of its zone several times a
// second; leaders send them to all entries of their zone and to the leaders of the
// other zones. The number of datagrams per entry therefore stays small in large
// deployments, and in a deployment of small zones all heartbeats are received
// directly.
//
// A heartbeat carries a digest of its sender's view of each zone. If the digests
// differ, the receiver replies with the live entries it knows: those of its own zone
// to any sender, those of all zones to a sender in its zone. Heartbeats of leaders also carry
// the entries that have changed lately, so that one change needs no lists. There is no
// consensus: each entry selects the leaders from its own view. An entry counts as
// alive for a limited time after its latest heartbeat, received directly or relayed
// by a leader. An entry in graceful shutdown reports itself as not ready. Reports
// about an earlier process of an instance than the latest, or older than the known
// state, are dropped.
//
// # Usage
//
//	d := &heartbeat.Detector{Self: self, Interval: 500 * time.Millisecond, Timeout: 2 * time.Second, Log: log}
//	d.AddPeer("a-1", netip.MustParseAddrPort("10.1.0.4:7720"))
//	go d.Run(ctx, packetConn)
//	for _, n := range d.Alive(time.Now()) {
//		use(n.Callers)
//	}
package heartbeat

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/serverlimit"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/internal/storecontact"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// MaxCrashReports is the maximum number of crash reports in a heartbeat, so that
	// it fits into one packet.
	MaxCrashReports = 3
	// MaxLimits is the maximum number of reports of servers' limits in a heartbeat.
	MaxLimits = 6
	// leadersPerZone is the number of leaders per zone: with two, one may fail without
	// interrupting the exchange.
	leadersPerZone = 2
	// relayAllowance extends Timeout for entries whose heartbeats arrive relayed: two
	// leaders relay a report, each with its next heartbeat, and one of those
	// datagrams may be lost.
	relayAllowance = 2000 * time.Millisecond
	// minRelayInterval is the minimum time between two heartbeats that relay a change
	// immediately.
	minRelayInterval = 100 * time.Millisecond
)

type (
	// Node is the state that an entry reports about itself.
	Node struct {
		// Instance is the entry's name.
		Instance id.Instance `cbor:"1,keyasint"`
		// Incarnation identifies its process; later processes have higher ones.
		Incarnation id.Incarnation `cbor:"2,keyasint"`
		// Count is the number of heartbeats that the process has sent.
		Count uint64 `cbor:"3,keyasint"`
		// Zone is its availability zone.
		Zone id.Zone `cbor:"4,keyasint"`
		// Region is its region.
		Region id.Region `cbor:"5,keyasint"`
		// Callers is its address for callers.
		Callers netip.AddrPort `cbor:"6,keyasint"`
		// Peers is its address for other entries.
		Peers netip.AddrPort `cbor:"7,keyasint"`
		// LinkMbps is the rate of its network link in Mbit/s; 0 if unknown.
		LinkMbps float64 `cbor:"8,keyasint,omitempty"`
		// Ready reports that it serves callers and is not shutting down.
		Ready bool `cbor:"9,keyasint,omitempty"`
		// Changes holds the versions of the newest store changes that the entry
		// has applied, by kind of object. This field and the following ones are
		// not relayed.
		Changes map[follow.Kind]store.Version `cbor:"10,keyasint,omitempty"`
		// StoreAvailableFor is for how long the store has been available to the
		// entry without interruption; 0 if it is unavailable or the entry has no
		// recent answer.
		StoreAvailableFor time.Duration `cbor:"11,keyasint,omitempty"`
		// Crashes holds the latest reports of requests that crash servers.
		Crashes []quarantine.CrashReport `cbor:"12,keyasint,omitempty"`
		// CrashDigest is the digest of all such reports; 0 if the entry sends none.
		CrashDigest quarantine.Digest `cbor:"13,keyasint,omitempty"`
		// Limits holds reports of limits that servers have named.
		Limits []serverlimit.Report `cbor:"14,keyasint,omitempty"`
		// Unreached is the share of the servers of each service that the entry can't
		// reach, for services of which it doesn't reach all.
		Unreached map[id.Service]float64 `cbor:"15,keyasint,omitempty"`
		// Relay is its address for requests that other entries pass on, invalid if it
		// takes none. In contrast to the fields before, it is relayed.
		Relay netip.AddrPort `cbor:"16,keyasint,omitzero"`
		// StoreContact tells of the store's latest answer to any entry; nil from builds that
		// don't send it.
		StoreContact *storecontact.Report `cbor:"22,keyasint,omitempty"`
		// Objects and Paces are notices for an even load. They are not relayed.
		Objects []byte `cbor:"20,keyasint,omitempty"`
		Paces   []byte `cbor:"21,keyasint,omitempty"`
	}

	// Update is the content of a heartbeat beside the liveness of entries.
	Update struct {
		// From is the sender, and Incarnation its process.
		From        id.Instance
		Incarnation id.Incarnation
		// Changes holds the versions of the newest store changes known to the
		// sender, received from the store or from other entries.
		Changes map[follow.Kind]store.Version
		// Crashes holds the latest reports of requests that crash servers.
		Crashes []quarantine.CrashReport
		// CrashDigest is the digest of all such reports that the sender has; 0 if it
		// sends none.
		CrashDigest quarantine.Digest
		// Limits holds reports of limits that servers have named.
		Limits []serverlimit.Report
		// StoreContact tells of the store's latest answer to any entry; nil from builds that
		// don't send it.
		StoreContact *storecontact.Report
		// Objects and Paces are notices for an even load.
		Objects, Paces []byte
	}

	// Detector sends and receives heartbeats and keeps the set of live entries.
	// The exported fields must be set before first use. It is safe for
	// concurrent use.
	Detector struct {
		// Self returns this entry's own state.
		Self func() Node
		// Interval is the time between two heartbeats to the same entry.
		Interval time.Duration
		// Timeout is how long an entry counts as alive after a heartbeat that was
		// received directly.
		Timeout time.Duration
		// OnUpdate, if not nil, is called with the content of each accepted
		// heartbeat.
		OnUpdate func(now time.Time, update Update)
		// Limits, if not nil, returns at most n reports of servers' limits for a
		// heartbeat; the round counts the heartbeats.
		Limits func(now time.Time, round uint64, n int) []serverlimit.Report
		// EvenLoad, if not nil, returns notices for an even load for a heartbeat, of at most
		// the given size in bytes together; the round counts the heartbeats.
		EvenLoad func(now time.Time, round uint64, size int) (objects, paces []byte)
		// Log receives a line for each entry that becomes alive, changes or falls
		// silent.
		Log *slog.Logger

		mu            sync.Mutex
		count         uint64
		peers         map[netip.AddrPort]*peer
		invalidations map[follow.Kind]store.Version
		view          *view         // live entries by zone; nil if outdated
		round         int           // counts the rounds, to probe silent entries in rotation
		limitRound    uint64        // counts the heartbeats with reports of limits
		size          int           // of the last heartbeat without notices for an even load
		urgent        chan struct{} // requests a heartbeat to relayTargets outside the interval
		announce      chan struct{} // requests one to all targets
		zoneUrgent    chan struct{} // requests one to the entries of the zone
		news          []news        // entries that have changed lately, the latest last
		lists         map[listKey]sentList
	}

	peer struct {
		zone       id.Zone // empty if unknown
		node       Node
		lastDirect time.Time // latest heartbeat received directly
		lastSeen   time.Time // latest heartbeat, received directly or relayed
		heardSince time.Time // first heartbeat received directly of the process, or after a silence
		alive      bool      // state logged last
		format     uint8     // highest datagram format that the process formatOf has sent
		formatOf   id.Incarnation
	}
)

// AddPeer adds an entry's address, and its availability zone unless that is empty.
func (d *Detector) AddPeer(zone id.Zone, addr netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peer(addr); p.zone == "" && zone != "" {
		p.zone, d.view = zone, nil
	}
}

// PrunePeers removes the addresses for which keep returns false and that are silent.
func (d *Detector) PrunePeers(now time.Time, keep func(netip.AddrPort) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, p := range d.peers {
		if !keep(addr) && !d.isAlive(p, now) {
			delete(d.peers, addr)
			d.view = nil
			d.Log.Info("entry removed from the peer list", "instance", p.node.Instance, "peers", addr, "silent", since(now, p.lastSeen))
		}
	}
}

// SilentFor returns the time since an entry's latest heartbeat, and false if there
// was none.
func (d *Detector) SilentFor(now time.Time, addr netip.AddrPort) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[addr]
	if p == nil || p.lastSeen.IsZero() {
		return 0, false
	}
	return now.Sub(p.lastSeen), true
}

// KnownPeers returns the addresses of all other known entries, alive or not, in order.
func (d *Detector) KnownPeers() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(d.peers))
	for addr := range d.peers {
		out = append(out, addr)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Alive returns the other entries that are alive, sorted by name.
func (d *Detector) Alive(now time.Time) []Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Node
	for _, p := range d.peers {
		if !d.isAlive(p, now) {
			continue
		}
		n := p.node
		if now.Sub(p.lastDirect) > d.Timeout {
			n.StoreAvailableFor = 0 // outdated, as it isn't relayed
		}
		out = append(out, n)
	}
	slices.SortFunc(out, func(x, y Node) int { return cmp.Compare(x.Instance, y.Instance) })
	return out
}

// Run sends and receives until ctx ends.
func (d *Detector) Run(ctx context.Context, conn net.PacketConn) error {
	d.mu.Lock()
	d.urgent, d.announce, d.zoneUrgent = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	d.mu.Unlock()
	defer context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })()
	go d.send(ctx, conn)
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			d.Log.Warn("heartbeat not read", "err", err)
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			d.Log.Warn("heartbeat dropped", "bytes", n, "err", err)
			continue
		}
		now := time.Now()
		if d.receive(now, m) && len(m.Entries) == 0 {
			d.answer(now, conn, m)
		}
	}
}

// Announce sends a heartbeat to all of this entry's targets immediately.
func (d *Detector) Announce(conn net.PacketConn) {
	now := time.Now()
	m := d.compose(now)
	round := d.nextLimitRound()
	if d.Limits != nil {
		m.From.Limits = d.Limits(now, round, MaxLimits)
	}
	d.addNotices(now, m, round)
	d.write(conn, m, d.targets(now))
}

// AnnounceSoon sends a heartbeat to all of this entry's targets without waiting for the next
// interval, while Run runs. It doesn't block.
func (d *Detector) AnnounceSoon() {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case d.announce <- struct{}{}:
	default: // already requested, or Run has not started
	}
}

func (d *Detector) nextLimitRound() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limitRound++
	return d.limitRound
}

func (d *Detector) send(ctx context.Context, conn net.PacketConn) {
	tick := time.NewTicker(d.Interval)
	defer tick.Stop()
	for {
		d.Announce(conn)
		d.logSilent(time.Now())
	wait:
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				break wait
			case <-d.announce:
				d.Announce(conn)
				d.pause(ctx)
			case <-d.urgent:
				now := time.Now()
				d.write(conn, d.compose(now), d.relayTargets(now))
				d.pause(ctx)
			case <-d.zoneUrgent:
				now := time.Now()
				d.write(conn, d.compose(now), d.zoneTargets(now))
				d.pause(ctx)
			}
		}
	}
}

// pause waits between two heartbeats outside the interval.
func (*Detector) pause(ctx context.Context) {
	select {
	case <-time.After(minRelayInterval):
	case <-ctx.Done():
	}
}

// compose builds a heartbeat.
func (d *Detector) compose(now time.Time) *message {
	self := d.Self()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count++
	self.Count = d.count
	d.mergeInvalidations(self.Changes)
	m := &message{From: self, Invalidations: make(map[follow.Kind]store.Version, len(d.invalidations))}
	for kind, version := range d.invalidations {
		m.Invalidations[kind] = version
	}
	m.Zones = d.zoneStates(now, &self)
	m.News = d.latestNews(now, &self)
	return m
}

func (d *Detector) write(conn net.PacketConn, m *message, to []netip.AddrPort) {
	now := time.Now()
	var datagrams [latestFormat + 1][]byte
	for _, addr := range to {
		for _, format := range d.formatsOf(now, addr) {
			if datagrams[format] == nil {
				var err error
				if datagrams[format], err = encode(m, format); err != nil {
					d.Log.Error("heartbeat not encoded", "format", format, "err", err)
					return
				}
				d.measure(m, format, len(datagrams[format]))
			}
			// Datagrams may be lost; the next heartbeat repeats the content.
			_, _ = conn.WriteTo(datagrams[format], net.UDPAddrFromAddrPort(addr))
		}
	}
}

// formatsOf returns the datagram formats to send to an entry: the latest if its process
// has sent that, else all. An entry that sends format 1 may be of this build and not have
// received a datagram of the latest format yet.
func (d *Detector) formatsOf(now time.Time, addr netip.AddrPort) []uint8 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peers[addr]; p != nil && p.format == latestFormat && p.formatOf == p.node.Incarnation && d.isAlive(p, now) {
		return []uint8{latestFormat}
	}
	return []uint8{format1, latestFormat}
}

// receive applies a received heartbeat. It returns false if the heartbeat is dropped.
func (d *Detector) receive(now time.Time, m *message) bool {
	self := d.Self()
	if !m.From.valid() || m.From.Peers == self.Peers {
		return false
	}
	d.mu.Lock()
	p := d.peer(m.From.Peers)
	if m.From.Incarnation < p.node.Incarnation {
		d.mu.Unlock()
		return false
	}
	if m.From.Incarnation != p.formatOf || now.Sub(p.lastDirect) > d.Timeout {
		p.heardSince = now
	}
	if m.From.Incarnation != p.formatOf {
		p.format, p.formatOf = 0, m.From.Incarnation
	}
	p.format = max(p.format, m.Format)
	changed := d.apply(now, p, &m.From, now)
	p.lastDirect = now
	raised := d.mergeInvalidations(m.Invalidations)
	relayedChange := false
	for _, list := range [][]relayedNode{m.Entries, m.News} {
		for i := range list {
			relayedChange = d.applyRelayed(now, &self, &list[i]) || relayedChange
		}
	}
	d.confirm(now, &self, m)
	if d.isLeader(now, &self) {
		d.request(d.urgent, changed || raised)
		d.request(d.zoneUrgent, relayedChange)
	}
	d.mu.Unlock()
	if d.OnUpdate != nil {
		d.OnUpdate(now, Update{From: m.From.Instance, Incarnation: m.From.Incarnation, Changes: m.Invalidations, Crashes: m.From.Crashes, CrashDigest: m.From.CrashDigest, Limits: m.From.Limits, StoreContact: m.From.StoreContact, Objects: m.From.Objects, Paces: m.From.Paces})
	}
	return true
}

// request requests a heartbeat outside the interval, if needed is set.
func (*Detector) request(requests chan<- struct{}, needed bool) {
	if !needed {
		return
	}
	select {
	case requests <- struct{}{}:
	default: // already requested, or Run has not started
	}
}

// applyRelayed applies the relayed state of an entry. It reports whether this changes which
// entries may be used.
func (d *Detector) applyRelayed(now time.Time, self *Node, r *relayedNode) bool {
	if !r.Node.valid() || r.Node.Peers == self.Peers || r.Age < 0 || r.Age > d.Timeout+relayAllowance {
		return false
	}
	p := d.peer(r.Node.Peers)
	if r.Node.Incarnation < p.node.Incarnation {
		return false
	}
	n := r.Node
	if n.Incarnation == p.node.Incarnation {
		n.Unreached = p.node.Unreached // is not relayed
	}
	return d.apply(now, p, &n, now.Add(-r.Age))
}

// apply applies an entry's state as of the time at. It reports whether this changes
// which entries may be used.
func (d *Detector) apply(now time.Time, p *peer, n *Node, at time.Time) bool {
	newer := n.Incarnation > p.node.Incarnation || n.Count >= p.node.Count
	changed := newer && (n.Incarnation != p.node.Incarnation || n.Ready != p.node.Ready) || !d.isAlive(p, now)
	if changed {
		d.view = nil
		d.recordNews(now, p)
	}
	if changed && newer {
		d.Log.Info("entry heard", "instance", n.Instance, "incarnation", n.Incarnation, "ready", n.Ready, "silent", since(now, p.lastSeen))
	}
	if newer {
		kept := p.node
		if p.zone != n.Zone {
			d.view = nil
		}
		p.node, p.zone = *n, n.Zone
		if n.Changes == nil && kept.Incarnation == n.Incarnation {
			// Relayed reports omit these fields.
			p.node.Changes, p.node.StoreAvailableFor = kept.Changes, kept.StoreAvailableFor
			p.node.Crashes, p.node.CrashDigest = kept.Crashes, kept.CrashDigest
		}
	}
	if at.After(p.lastSeen) {
		p.lastSeen = at
	}
	p.alive = d.isAlive(p, now)
	return changed
}

// confirm refreshes the entries of the zones whose digest equals this entry's own.
// Ages refer to the heartbeats of the entries themselves, so reports that circulate
// among leaders don't keep a stopped entry alive.
func (d *Detector) confirm(now time.Time, self *Node, m *message) {
	for _, z := range m.Zones {
		ours := d.zone(now, self, z.Zone)
		if z.Age < 0 || z.Age > d.Timeout+relayAllowance || z.Digest != ours.digest {
			continue
		}
		for _, p := range ours.others {
			if now.Add(-z.Age).After(p.lastSeen) {
				p.lastSeen = now.Add(-z.Age)
			}
		}
	}
}

// mergeInvalidations merges the versions of store changes, and reports whether any is
// newer than the known one.
func (d *Detector) mergeInvalidations(changes map[follow.Kind]store.Version) bool {
	raised := false
	for kind, version := range changes {
		if d.invalidations[kind].Before(version) {
			if d.invalidations == nil {
				d.invalidations = make(map[follow.Kind]store.Version)
			}
			d.invalidations[kind], raised = version, true
		}
	}
	return raised
}

// logSilent logs the entries that have become silent.
func (d *Detector) logSilent(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, p := range d.peers {
		if p.alive && !d.isAlive(p, now) {
			p.alive = false
			d.Log.Warn("entry silent", "instance", p.node.Instance, "peers", addr, "silent", now.Sub(p.lastSeen))
		}
	}
}

func (d *Detector) peer(addr netip.AddrPort) *peer {
	if d.peers == nil {
		d.peers = make(map[netip.AddrPort]*peer)
	}
	p := d.peers[addr]
	if p == nil {
		p = &peer{}
		d.peers[addr], d.view = p, nil
	}
	return p
}

func (d *Detector) isAlive(p *peer, now time.Time) bool {
	limit := d.Timeout
	if p.lastSeen.Sub(p.lastDirect) > d.Interval {
		// A smaller difference is just the delay of a relayed report.
		limit += relayAllowance
	}
	return !p.lastSeen.IsZero() && now.Sub(p.lastSeen) <= limit
}

func since(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}
