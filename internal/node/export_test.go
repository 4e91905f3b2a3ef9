package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/forward"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// RetryLimits returns this entry's share of the retry limits.
func (n *Node) RetryLimits() forward.RetryLimits { return n.retryLimits() }

// Unheard returns the registered entries that are asked for tokens though they haven't been heard.
func (n *Node) Unheard(now time.Time) []heartbeat.Node {
	return n.unheard(now, n.Heartbeats.KnownPeers())
}

// LogReadiness logs the readiness as the entry does ten times a second.
func (n *Node) LogReadiness(now time.Time) { n.logReadiness(now) }

// RunColdChecks runs the checks of cold servers, whose requests are sent through transport, and
// what they need of the entry.
func (n *Node) RunColdChecks(ctx context.Context, heartbeats, questions net.PacketConn, transport http.RoundTripper) {
	n.cold.client.Transport = transport
	go func() { _ = n.Heartbeats.Run(ctx, heartbeats) }()
	go func() { _ = n.questions.Run(ctx, questions) }()
	for ; ctx.Err() == nil; time.Sleep(tickInterval) {
		n.checkCold(ctx, time.Now())
	}
}

// StoreSilentFor returns the time since the store's latest answer to any entry.
func (n *Node) StoreSilentFor() time.Duration { return n.storeSilentFor(time.Now()) }

// AnswerSnapshot returns the answer to a request for a snapshot.
func (n *Node) AnswerSnapshot(request []byte) ([]byte, error) {
	s, err := n.answerSnapshot(context.Background(), peer.Sender{}, request)
	if err != nil {
		return nil, err
	}
	return json.Marshal(s)
}

// TakeSnapshot applies such an answer.
func (n *Node) TakeSnapshot(answer []byte) error {
	var s snapshot
	if err := json.Unmarshal(answer, &s); err != nil {
		return err
	}
	if err := s.unpack(); err != nil {
		return err
	}
	n.applySnapshot(time.Now(), "other", &s)
	return nil
}

// BestSource returns the entry that is asked for the missing kinds, empty if there is none.
func (n *Node) BestSource(others []heartbeat.Node, missing map[follow.Kind]store.Version) id.Instance {
	source, _ := n.bestSource(others, missing)
	return source.Instance
}
