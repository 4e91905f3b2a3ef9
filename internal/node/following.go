package node

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/peer/rpc"
	"github.com/shallotpier/shallotpier/internal/relayfeed"
	"github.com/shallotpier/shallotpier/internal/store"
)

// leaderSilenceShare is the time without a heartbeat from which a leader isn't asked for
// changes, in intervals: two consecutive heartbeats may be lost.
const leaderSilenceShare = 3.2

// FeedThroughLeaders makes a follower of a kind get the changes from a leader of this
// entry's availability zone where possible, and keep them for other entries. Timeout limits a
// call to a leader, in addition to its wait. It is called before Run.
func (n *Node) FeedThroughLeaders(f *follow.Follower, timeout time.Duration, direct store.Feed) {
	record := &relayfeed.Log{}
	n.feedServer.Logs[f.Kind] = record
	// A connection for each kind: a failed call of one kind closes its connection, and
	// calls of the others go on.
	client := &rpc.Node{Self: peer.Sender{Instance: n.options.Self.Instance, Incarnation: n.options.Self.Incarnation}, Dial: n.dialPeer}
	n.feedClients = append(n.feedClients, client)
	f.Recorder = record
	f.Feed = &relayfeed.Feed{
		Self: n.options.Self.Instance, Kind: f.Kind, Store: direct, Peers: client, Leaders: n.leadersToFollow, Timeout: timeout,
		MaxSilence: time.Duration(leaderSilenceShare * float64(n.options.HeartbeatInterval)), Log: n.options.Log, Metrics: n.options.Metrics,
	}
}

// serveFeeds registers the method for entries that follow the store through this one.
func (n *Node) serveFeeds() {
	n.feedServer = relayfeed.Server{Logs: make(map[follow.Kind]*relayfeed.Log), Serving: func() bool { return !n.leaving() }}
	n.feedServer.Register(&n.peers)
}

func (n *Node) closeFeeds() {
	for _, client := range n.feedClients {
		client.Close()
	}
}

// leadersToFollow returns the leaders through which this entry may follow the store. It is
// none for leaders and short-poll entries.
func (n *Node) leadersToFollow(now time.Time) []relayfeed.Leader {
	self := n.options.Self
	self.Ready = n.Ready()
	var out []relayfeed.Leader
	for _, l := range n.Heartbeats.Leaders(now, &self) {
		if l.Ready {
			out = append(out, relayfeed.Leader{Instance: l.Instance, Incarnation: l.Incarnation, Silent: l.Silent, LinkMbps: l.LinkMbps})
		}
	}
	if len(out) > 0 && n.ShortPolls() {
		return nil
	}
	return out
}
