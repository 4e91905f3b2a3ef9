package node

import (
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/follow"
)

// What an entry may lack to be ready.
const (
	// LackConfiguration means that no configuration has been received.
	LackConfiguration Lack = "configuration"
	// LackServers means that no complete list of the backend servers has been received.
	LackServers Lack = "servers"
	// LackProof means that the configuration holds organisations, and isn't proved to be
	// recent enough to accept their keys.
	LackProof Lack = "proof"
	// LackStay means that the entry is shutting down.
	LackStay Lack = "leaving"
)

// notReadyInterval is the interval of log lines about an entry that stays unready.
const notReadyInterval = 5 * time.Second

type (
	// Lack is a reason why an entry isn't ready.
	Lack string

	// readinessLog holds what was logged of an entry's readiness. It is used by tick only.
	readinessLog struct {
		lacks []Lack
		since time.Time // of the change before
		at    time.Time // of the latest line
	}
)

// Lacks returns the reasons why the entry isn't ready, none if it is.
func (n *Node) Lacks() []Lack {
	var lacks []Lack
	if n.config.Load() == nil {
		lacks = append(lacks, LackConfiguration)
	}
	if !n.serversListed.Load() {
		lacks = append(lacks, LackServers)
	}
	if !n.confirmed() {
		lacks = append(lacks, LackProof)
	}
	if n.leaving() {
		lacks = append(lacks, LackStay)
	}
	return lacks
}

// logReadiness logs each change of the readiness, and repeats the line while the entry isn't
// ready.
func (n *Node) logReadiness(now time.Time) {
	l, lacks := &n.loggedReadiness, n.Lacks()
	first := l.at.IsZero()
	if first {
		l.since = n.started
	}
	changed := first || !slices.Equal(lacks, l.lacks)
	if !changed && (len(lacks) == 0 || now.Sub(l.at) < notReadyInterval) {
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
	l.lacks, l.at = lacks, now
	if len(lacks) == 0 {
		n.options.Log.Info("ready", attrs...)
		return
	}
	n.options.Log.Warn("not ready", append(attrs, "lacks", lacks)...)
}
