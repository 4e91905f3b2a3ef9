package node

import (
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/follow"
)

// Reasons why an entry isn't ready.
const (
	// NoConfiguration means that no configuration has been received.
	NoConfiguration NotReadyReason = "configuration"
	// NoServers means that no complete list of the backend servers has been received.
	NoServers NotReadyReason = "servers"
	// NoProof means that the configuration holds organisations, and isn't proved to be
	// recent enough to accept their keys.
	NoProof NotReadyReason = "proof"
	// Leaving means that the entry is shutting down.
	Leaving NotReadyReason = "leaving"
)

// notReadyInterval is the interval of log lines about an entry that stays unready.
const notReadyInterval = 5 * time.Second

type (
	// NotReadyReason is a reason why an entry isn't ready.
	NotReadyReason string

	// readinessLog holds what was logged of an entry's readiness. It is used by tick only.
	readinessLog struct {
		reasons []NotReadyReason
		since   time.Time // of the change before
		at      time.Time // of the latest line
	}
)

// NotReady returns the reasons why the entry isn't ready, none if it is.
func (n *Node) NotReady() []NotReadyReason {
	var reasons []NotReadyReason
	if n.config.Load() == nil {
		reasons = append(reasons, NoConfiguration)
	}
	if !n.serversListed.Load() {
		reasons = append(reasons, NoServers)
	}
	if !n.confirmed() {
		reasons = append(reasons, NoProof)
	}
	if n.leaving() {
		reasons = append(reasons, Leaving)
	}
	return reasons
}

// logReadiness logs each change of the readiness, and repeats the line while the entry isn't
// ready.
func (n *Node) logReadiness(now time.Time) {
	l, reasons := &n.loggedReadiness, n.NotReady()
	first := l.at.IsZero()
	if first {
		l.since = n.started
	}
	changed := first || !slices.Equal(reasons, l.reasons)
	if !changed && (len(reasons) == 0 || now.Sub(l.at) < notReadyInterval) {
		return
	}
	attrs := []any{"after", now.Sub(l.since)}
	for _, kind := range []follow.Kind{follow.Configuration, follow.Servers} {
		if f := n.options.Store[kind]; f != nil {
			attrs = append(attrs, string(kind)+"Age", f.Age(now))
		}
	}
	attrs = append(attrs, "version", n.configVersion(), "revoke", n.confirmation.Bound())
	if changed {
		l.since = now
	}
	l.reasons, l.at = reasons, now
	if len(reasons) == 0 {
		n.options.Log.Info("ready", attrs...)
		return
	}
	n.options.Log.Warn("not ready", append(attrs, "reasons", reasons)...)
}
