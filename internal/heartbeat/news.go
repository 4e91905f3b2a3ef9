package heartbeat

import (
	"net/netip"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// maxNews is the maximum number of changed entries in a heartbeat, so that it fits
	// into a packet. If more have changed, the lists tell of the others.
	maxNews = 5
	// newsIntervals is for how many intervals after its change an entry is sent along, so
	// that two heartbeats to the same recipient carry it.
	newsIntervals = 2.5
	// listShare is the minimum time between two lists of a zone to the same entry while
	// neither view has changed, as a fraction of the interval.
	listShare = 0.8
	// leaderSettleIntervals is for how many intervals a leader must have been heard until its
	// zone's entries, which then know no more than it does, send it no lists.
	leaderSettleIntervals = 10
)

type (
	// news is an entry whose state has changed.
	news struct {
		peer *peer
		at   time.Time
	}

	// listKey identifies the lists of a zone to an entry.
	listKey struct {
		to   netip.AddrPort
		zone id.Zone
	}

	// sentList is the latest list sent.
	sentList struct {
		at           time.Time
		ours, theirs uint64 // digests of the zone
	}
)

// recordNews records that an entry's state has changed. The caller must hold mu.
func (d *Detector) recordNews(now time.Time, p *peer) {
	d.news = slices.DeleteFunc(d.news, func(n news) bool { return n.peer == p || now.Sub(n.at) > d.newsTime() })
	d.news = append(d.news, news{p, now})
}

func (d *Detector) newsTime() time.Duration {
	return time.Duration(newsIntervals * float64(d.Interval))
}

// latestNews returns the entries that have changed last, for the heartbeats of a leader. An
// entry that applies them needs no list of their zone. The caller must hold mu.
func (d *Detector) latestNews(now time.Time, self *Node) []relayedNode {
	if len(d.news) == 0 || !d.isLeader(now, self) {
		return nil
	}
	var out []relayedNode
	for _, n := range slices.Backward(d.news) {
		if len(out) < maxNews && now.Sub(n.at) <= d.newsTime() && d.isAlive(n.peer, now) {
			out = append(out, relayedNode{Node: relayed(n.peer.node), Age: now.Sub(n.peer.lastSeen)})
		}
	}
	return out
}

// mayList reports whether a list of a zone is to be sent to an entry with another digest of
// it, and records that it is. The caller must hold mu.
func (d *Detector) mayList(now time.Time, key listKey, ours, theirs uint64) bool {
	spacing := time.Duration(listShare * float64(d.Interval))
	last := d.lists[key]
	if last.ours == ours && last.theirs == theirs && now.Sub(last.at) < spacing {
		return false
	}
	if d.lists == nil {
		d.lists = make(map[listKey]sentList)
	}
	for k, l := range d.lists {
		if now.Sub(l.at) > d.Timeout {
			delete(d.lists, k)
		}
	}
	d.lists[key] = sentList{now, ours, theirs}
	return true
}

// informed reports whether a sender is a leader of this entry's zone that has been heard for
// a while, and this entry is none, so that the sender knows what it does. The caller must
// hold mu.
func (d *Detector) informed(now time.Time, self, from *Node) bool {
	p := d.peers[from.Peers]
	if p == nil || from.Zone != self.Zone || now.Sub(p.heardSince) < leaderSettleIntervals*d.Interval || d.isLeader(now, self) {
		return false
	}
	return slices.Contains(d.leadersOf(now, self, self.Zone), from.Peers)
}
