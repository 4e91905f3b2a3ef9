package node

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/forward"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
)

// RetryLimits returns this entry's share of the retry limits.
func (n *Node) RetryLimits() forward.RetryLimits { return n.retryLimits() }

// Unheard returns the registered entries that are asked for tokens though they haven't been heard.
func (n *Node) Unheard(now time.Time) []heartbeat.Node {
	return n.unheard(now, n.Heartbeats.KnownPeers())
}

// LogReadiness logs the readiness as the entry does ten times a second.
func (n *Node) LogReadiness(now time.Time) { n.logReadiness(now) }
