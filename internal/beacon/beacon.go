// Package beacon tells the entries of a deployment which others are alive, by
// datagrams that each sends to all others some times a second.
//
// A beacon holds everything that others need of its sender, so that the loss of
// some doesn't matter, and one from a process that was not known before makes it
// known. An entry counts as alive while its beacons arrive; one that stops as
// planned says so in its last ones. A beacon of an earlier process of an instance
// than the latest is left out.
//
// # Usage
//
//	b := &beacon.Beacon{Self: self, Interval: 500 * time.Millisecond, Timeout: 2 * time.Second, Log: log}
//	b.Meet("10.1.0.4:7720")
//	go b.Run(ctx, packetConn)
//	for _, n := range b.Alive(time.Now()) {
//		use(n.Callers)
//	}
package beacon

import (
	"cmp"
	"context"
	"encoding/json"
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
	// maxDatagram is the longest beacon that is read, in bytes.
	maxDatagram = 4096
	// MaxCrashes is how many crashes a beacon tells of, so that it stays within
	// one packet.
	MaxCrashes = 3
)

type (
	// Node is what an entry says of itself.
	Node struct {
		// Instance is the entry's name.
		Instance id.Instance `json:"instance"`
		// Incarnation is that of its process.
		Incarnation id.Incarnation `json:"incarnation"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone"`
		// Region is its region.
		Region id.Region `json:"region"`
		// Callers is its address for callers.
		Callers netip.AddrPort `json:"callers"`
		// Peers is its address for beacons.
		Peers netip.AddrPort `json:"peers"`
		// LinkMbps is the rate of its network link in Mbit/s; 0 if it is not
		// known.
		LinkMbps float64 `json:"linkMbps,omitempty"`
		// Ready tells that it serves callers and is not about to stop.
		Ready bool `json:"ready"`
		// Changes are the versions of the newest changes of the store that the
		// entry knows, by kind of object.
		Changes map[follow.Kind]store.Version `json:"changes,omitempty"`
		// Steady is for how long the store has answered the entry all along;
		// 0 if it doesn't or if the entry can't tell.
		Steady time.Duration `json:"steady,omitempty"`
		// Crashes is the latest news of requests that crash servers.
		Crashes []quarantine.Sighting `json:"crashes,omitempty"`
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
		// Heard is called with each beacon that is taken in; nil is not.
		Heard func(now time.Time, n Node)
		// Log gets a line for each entry that comes or goes.
		Log *slog.Logger

		mu    sync.Mutex
		known map[netip.AddrPort]*peer
	}

	peer struct {
		node  Node
		heard time.Time
		alive bool
	}
)

// Meet makes an entry's address for beacons known.
func (b *Beacon) Meet(addr netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peer(addr)
}

// Forget ends the sending of beacons to addresses that keep returns false for
// and that are silent.
func (b *Beacon) Forget(now time.Time, keep func(netip.AddrPort) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for addr, p := range b.known {
		if !keep(addr) && now.Sub(p.heard) > b.Timeout {
			delete(b.known, addr)
		}
	}
}

// Known returns the addresses for beacons of the other entries that there may
// be, alive or not, in order.
func (b *Beacon) Known() []netip.AddrPort {
	out := b.addresses()
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Alive returns the other entries that are alive, by name.
func (b *Beacon) Alive(now time.Time) []Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Node
	for _, p := range b.known {
		if b.isAlive(p, now) {
			out = append(out, p.node)
		}
	}
	slices.SortFunc(out, func(x, y Node) int { return cmp.Compare(x.Instance, y.Instance) })
	return out
}

// Run sends and receives until ctx ends, and sends a last beacon then.
func (b *Beacon) Run(ctx context.Context, conn net.PacketConn) error {
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
		var node Node
		if err := json.Unmarshal(buf[:n], &node); err != nil {
			b.Log.Warn("beacon not understood", "bytes", n, "err", err)
			continue
		}
		b.Take(time.Now(), node)
	}
}

// Take takes in a beacon.
func (b *Beacon) Take(now time.Time, node Node) {
	if !node.Peers.IsValid() || !node.Callers.IsValid() || node.Peers == b.Self().Peers {
		return
	}
	if !b.note(now, node) {
		return
	}
	if b.Heard != nil {
		b.Heard(now, node)
	}
}

// note takes in who sent a beacon. It returns false for one of an earlier process
// than the latest.
func (b *Beacon) note(now time.Time, node Node) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peer(node.Peers)
	if node.Incarnation < p.node.Incarnation {
		return false
	}
	if !p.alive || p.node.Ready != node.Ready || p.node.Incarnation != node.Incarnation {
		b.Log.Info("entry heard", "instance", node.Instance, "incarnation", node.Incarnation, "ready", node.Ready, "silent", since(now, p.heard))
	}
	p.node, p.heard, p.alive = node, now, true
	return true
}

// Announce sends one beacon to all others at once.
func (b *Beacon) Announce(conn net.PacketConn) {
	data, err := json.Marshal(b.Self())
	if err != nil {
		b.Log.Error("beacon not encoded", "err", err)
		return
	}
	for _, addr := range b.addresses() {
		// Datagrams may be lost; the next beacon says the same.
		_, _ = conn.WriteTo(data, net.UDPAddrFromAddrPort(addr))
	}
}

func (b *Beacon) send(ctx context.Context, conn net.PacketConn) {
	tick := time.NewTicker(b.Interval)
	defer tick.Stop()
	for {
		b.Announce(conn)
		b.expire(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
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

func (b *Beacon) addresses() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(b.known))
	for addr := range b.known {
		out = append(out, addr)
	}
	return out
}

func (b *Beacon) peer(addr netip.AddrPort) *peer {
	if b.known == nil {
		b.known = make(map[netip.AddrPort]*peer)
	}
	p := b.known[addr]
	if p == nil {
		p = &peer{}
		b.known[addr] = p
	}
	return p
}

func (b *Beacon) isAlive(p *peer, now time.Time) bool {
	return p.alive && now.Sub(p.heard) <= b.Timeout
}

func since(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}
