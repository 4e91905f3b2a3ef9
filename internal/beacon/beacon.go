// Package beacon tells the entries of a deployment which others are alive, by
// datagrams.
//
// The first two entries of each availability zone, by name, are its leaders. All
// entries send a beacon to the leaders of their zone some times a second; leaders
// send one to all entries of their zone, and to the leaders of the others. So an
// entry sends and gets only a few datagrams, however many entries there are, and in
// a deployment of small zones all hear of each other at first hand.
//
// A beacon tells what its sender knows of each zone as a digest. A leader that gets
// another digest than its own of its zone, or from an entry of its zone, answers
// with the list of the entries there. Nothing is agreed on: each entry takes those
// for leaders that it believes to be alive, and an entry counts as alive for a time
// after it was heard, at first hand or by word of a leader. One that stops as
// planned says so in its last beacons. What is told of an earlier process of an
// instance than the latest, or is older than what is known, is left out.
//
// # Usage
//
//	b := &beacon.Beacon{Self: self, Interval: 500 * time.Millisecond, Timeout: 2 * time.Second, Log: log}
//	b.Meet("a-1", "10.1.0.4:7720")
//	go b.Run(ctx, packetConn)
//	for _, n := range b.Alive(time.Now()) {
//		use(n.Callers)
//	}
package beacon

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
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// MaxCrashes is how many crashes a beacon tells of, so that it stays within
	// one packet.
	MaxCrashes = 3
	// leaders is how many entries lead a zone: one may be lost without a gap.
	leaders = 2
	// hearsay is how much longer than at first hand an entry counts as alive that
	// is known by word of others: two leaders pass the word on, each at its next
	// beacon, of which one may be lost.
	hearsay = 2000 * time.Millisecond
	// hurry is the least time between two beacons that pass on news at once.
	hurry = 100 * time.Millisecond
)

type (
	// Node is what an entry says of itself.
	Node struct {
		_ struct{} `cbor:",toarray"`

		// Instance is the entry's name.
		Instance id.Instance
		// Incarnation is that of its process.
		Incarnation id.Incarnation
		// Count counts the beacons of the process.
		Count uint64
		// Zone is its availability zone.
		Zone id.Zone
		// Region is its region.
		Region id.Region
		// Callers is its address for callers.
		Callers netip.AddrPort
		// Peers is its address for other entries.
		Peers netip.AddrPort
		// LinkMbps is the rate of its network link in Mbit/s; 0 if it is not
		// known.
		LinkMbps float64
		// Ready tells that it serves callers and is not about to stop.
		Ready bool
		// Changes are the versions of the newest changes of the store that the
		// entry knows, by kind of object. They are told at first hand alone, as is
		// all that follows.
		Changes map[follow.Kind]store.Version
		// Steady is for how long the store has answered the entry all along;
		// 0 if it doesn't or if the entry can't tell.
		Steady time.Duration
		// Crashes is the latest news of requests that crash servers.
		Crashes []quarantine.Sighting
	}

	// News is what a beacon brings beside who is alive.
	News struct {
		// Changes are the newest changes of the store that its sender knows or
		// has heard of.
		Changes map[follow.Kind]store.Version
		// Crashes is the latest news of requests that crash servers.
		Crashes []quarantine.Sighting
	}

	// Beacon sends and receives beacons. Its exported fields are set before
	// its first use. It is safe for concurrent use.
	Beacon struct {
		// Self returns what this entry says of itself.
		Self func() Node
		// Interval is the time between two beacons to one entry.
		Interval time.Duration
		// Timeout is how long an entry may be silent while it counts as alive.
		Timeout time.Duration
		// Heard is called with what each beacon brings that is taken in; nil is
		// not.
		Heard func(now time.Time, news News)
		// Log gets a line for each entry that comes or goes.
		Log *slog.Logger

		mu     sync.Mutex
		count  uint64
		known  map[netip.AddrPort]*peer
		hints  map[follow.Kind]store.Version
		view   *view         // who is alive; nil if it has changed
		turn   int           // counts the rounds, to try silent entries in turn
		urgent chan struct{} // asks for a beacon that passes on news
	}

	peer struct {
		zone   id.Zone // as far as known
		node   Node
		direct time.Time // when it was heard at first hand
		heard  time.Time // when it was heard, by its own word or another's
		alive  bool      // as last logged
	}
)

// Meet makes an entry's address known, and its availability zone, if that is
// known.
func (b *Beacon) Meet(zone id.Zone, addr netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.peer(addr); p.zone == "" && zone != "" {
		p.zone, b.view = zone, nil
	}
}

// Forget drops the addresses that keep returns false for and that are silent.
func (b *Beacon) Forget(now time.Time, keep func(netip.AddrPort) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for addr, p := range b.known {
		if !keep(addr) && !b.isAlive(p, now) {
			delete(b.known, addr)
			b.view = nil
			b.Log.Info("entry forgotten", "instance", p.node.Instance, "peers", addr, "silent", since(now, p.heard))
		}
	}
}

// Silent returns how long an entry has been silent, and false if it was never
// heard.
func (b *Beacon) Silent(now time.Time, addr netip.AddrPort) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.known[addr]
	if p == nil || p.heard.IsZero() {
		return 0, false
	}
	return now.Sub(p.heard), true
}

// Known returns the addresses of the other entries that there may be, alive or
// not, in order.
func (b *Beacon) Known() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(b.known))
	for addr := range b.known {
		out = append(out, addr)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Alive returns the other entries that are alive, by name.
func (b *Beacon) Alive(now time.Time) []Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Node
	for _, p := range b.known {
		if !b.isAlive(p, now) {
			continue
		}
		n := p.node
		if now.Sub(p.direct) > b.Timeout {
			n.Steady = 0 // it may have ended since
		}
		out = append(out, n)
	}
	slices.SortFunc(out, func(x, y Node) int { return cmp.Compare(x.Instance, y.Instance) })
	return out
}

// Run sends and receives until ctx ends.
func (b *Beacon) Run(ctx context.Context, conn net.PacketConn) error {
	b.mu.Lock()
	b.urgent = make(chan struct{}, 1)
	b.mu.Unlock()
	defer context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })()
	go b.send(ctx, conn)
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			b.Log.Warn("beacon not read", "err", err)
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			b.Log.Warn("beacon left out", "bytes", n, "err", err)
			continue
		}
		now := time.Now()
		if b.take(now, m) && len(m.Entries) == 0 {
			b.answer(now, conn, m)
		}
	}
}

// Announce sends a beacon to all entries that this one sends beacons to.
func (b *Beacon) Announce(conn net.PacketConn) {
	now := time.Now()
	b.write(conn, b.compose(now), b.targets(now))
}

func (b *Beacon) send(ctx context.Context, conn net.PacketConn) {
	tick := time.NewTicker(b.Interval)
	defer tick.Stop()
	for {
		b.Announce(conn)
		b.expire(time.Now())
	wait:
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				break wait
			case <-b.urgent:
				now := time.Now()
				b.write(conn, b.compose(now), b.relays(now))
				select {
				case <-time.After(hurry):
				case <-ctx.Done():
					return
				}
			}
		}
	}
}

// compose makes a beacon.
func (b *Beacon) compose(now time.Time) *message {
	self := b.Self()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count++
	self.Count = b.count
	b.raise(self.Changes)
	m := &message{Format: format, From: self, Hints: make(map[follow.Kind]store.Version, len(b.hints))}
	for kind, version := range b.hints {
		m.Hints[kind] = version
	}
	m.Zones = b.states(now, &self)
	return m
}

func (b *Beacon) write(conn net.PacketConn, m *message, to []netip.AddrPort) {
	data, err := encode(m)
	if err != nil {
		b.Log.Error("beacon not encoded", "err", err)
		return
	}
	for _, addr := range to {
		// Datagrams may be lost; the next beacon says the same.
		_, _ = conn.WriteTo(data, net.UDPAddrFromAddrPort(addr))
	}
}

// take takes in a beacon. It returns false for one that is left out.
func (b *Beacon) take(now time.Time, m *message) bool {
	self := b.Self()
	if !m.From.valid() || m.From.Peers == self.Peers {
		return false
	}
	b.mu.Lock()
	p := b.peer(m.From.Peers)
	if m.From.Incarnation < p.node.Incarnation {
		b.mu.Unlock()
		return false
	}
	changed := b.hear(now, p, &m.From, now)
	p.direct = now
	raised := b.raise(m.Hints)
	for i := range m.Entries {
		b.hearOf(now, &self, &m.Entries[i])
	}
	b.confirm(now, &self, m)
	if (changed || raised) && b.leads(now, &self) {
		select {
		case b.urgent <- struct{}{}:
		default: // it was asked for already, or nothing is sent yet
		}
	}
	b.mu.Unlock()
	if b.Heard != nil {
		b.Heard(now, News{Changes: m.Hints, Crashes: m.From.Crashes})
	}
	return true
}

// hearOf takes in an entry by another's word.
func (b *Beacon) hearOf(now time.Time, self *Node, s *sighting) {
	if !s.Node.valid() || s.Node.Peers == self.Peers || s.Age < 0 || s.Age > b.Timeout+hearsay {
		return
	}
	p := b.peer(s.Node.Peers)
	if s.Node.Incarnation < p.node.Incarnation {
		return
	}
	b.hear(now, p, &s.Node, now.Add(-s.Age))
}

// hear takes in that an entry was heard at a time. It returns whether that changes
// who may be used.
func (b *Beacon) hear(now time.Time, p *peer, n *Node, at time.Time) bool {
	newer := n.Incarnation > p.node.Incarnation || n.Count >= p.node.Count
	changed := newer && (n.Incarnation != p.node.Incarnation || n.Ready != p.node.Ready) || !b.isAlive(p, now)
	if changed {
		b.view = nil
	}
	if changed && newer {
		b.Log.Info("entry heard", "instance", n.Instance, "incarnation", n.Incarnation, "ready", n.Ready, "silent", since(now, p.heard))
	}
	if newer {
		kept := p.node
		if p.zone != n.Zone {
			b.view = nil
		}
		p.node, p.zone = *n, n.Zone
		if n.Changes == nil && kept.Incarnation == n.Incarnation {
			// Word of others doesn't tell what only the entry itself does.
			p.node.Changes, p.node.Steady, p.node.Crashes = kept.Changes, kept.Steady, kept.Crashes
		}
	}
	if at.After(p.heard) {
		p.heard = at
	}
	p.alive = b.isAlive(p, now)
	return changed
}

// confirm takes in the word of a sender on the zones that it knows as this entry
// does. Ages tell when the entries themselves were heard, so word that comes back
// in a circle keeps nobody alive.
func (b *Beacon) confirm(now time.Time, self *Node, m *message) {
	for _, z := range m.Zones {
		ours := b.zone(now, self, z.Zone)
		if z.Age < 0 || z.Age > b.Timeout+hearsay || z.Digest != ours.digest {
			continue
		}
		for _, p := range ours.others {
			if now.Add(-z.Age).After(p.heard) {
				p.heard = now.Add(-z.Age)
			}
		}
	}
}

// raise takes in changes of the store, and returns whether any is news.
func (b *Beacon) raise(changes map[follow.Kind]store.Version) bool {
	news := false
	for kind, version := range changes {
		if version > b.hints[kind] {
			if b.hints == nil {
				b.hints = make(map[follow.Kind]store.Version)
			}
			b.hints[kind], news = version, true
		}
	}
	return news
}

// expire notes the entries that have become silent.
func (b *Beacon) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for addr, p := range b.known {
		if p.alive && !b.isAlive(p, now) {
			p.alive = false
			b.Log.Warn("entry silent", "instance", p.node.Instance, "peers", addr, "silent", now.Sub(p.heard))
		}
	}
}

func (b *Beacon) peer(addr netip.AddrPort) *peer {
	if b.known == nil {
		b.known = make(map[netip.AddrPort]*peer)
	}
	p := b.known[addr]
	if p == nil {
		p = &peer{}
		b.known[addr], b.view = p, nil
	}
	return p
}

func (b *Beacon) isAlive(p *peer, now time.Time) bool {
	limit := b.Timeout
	if p.heard.Sub(p.direct) > b.Interval {
		// Less is the time that the word of others was under way.
		limit += hearsay
	}
	return !p.heard.IsZero() && now.Sub(p.heard) <= limit
}

func since(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}
