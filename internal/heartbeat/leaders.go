package heartbeat

import (
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Leader is a leader of an availability zone as another entry of the zone sees it.
type Leader struct {
	// Instance is its name, Incarnation its process.
	Instance    id.Instance
	Incarnation id.Incarnation
	// Ready reports that it serves callers and is not shutting down.
	Ready bool
	// Silent is the time since its latest heartbeat.
	Silent time.Duration
	// LinkMbps is the rate of its network link in Mbit/s; 0 if unknown.
	LinkMbps float64
}

// Leaders returns the leaders of this entry's zone, none if it is a leader itself.
func (d *Detector) Leaders(now time.Time, self *Node) []Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isLeader(now, self) {
		return nil
	}
	var out []Leader
	for _, n := range leadersAmong(d.zone(now, self, self.Zone).members) {
		if p := d.peers[n.Peers]; p != nil {
			out = append(out, Leader{Instance: n.Instance, Incarnation: n.Incarnation, Ready: n.Ready, Silent: now.Sub(p.lastSeen), LinkMbps: n.LinkMbps})
		}
	}
	return out
}

// LiveBefore returns the number of live entries whose names are before this entry's.
func (d *Detector) LiveBefore(now time.Time, self id.Instance) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := 0
	for _, p := range d.peers {
		if p.node.Instance < self && d.isAlive(p, now) {
			before++
		}
	}
	return before
}
