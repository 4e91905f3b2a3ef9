package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/datagram"
	"github.com/shallotpier/shallotpier/internal/entryview"
	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/freshness"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// peersTTL is how long the list of live entries is kept that decides who is asked for a proof.
// The entries make several decisions a second, and the list is sorted.
const peersTTL = 250 * time.Millisecond

// prepareFreshness sets up the proof that the configuration is the newest one.
func (n *Node) prepareFreshness() {
	o := &n.options
	n.clock = o.Clock
	if n.clock == nil {
		n.clock = boottime.System()
	}
	n.freshness = &freshness.Loop{
		Tracker: &n.confirmation, Schedule: freshness.Schedule{Self: o.Self.Instance, Zone: o.Self.Zone}, Clock: n.clock,
		Others: n.freshnessPeers(), Version: n.configVersion, Ask: n.askFreshness, Read: n.readConfiguration, Fetch: n.fetchConfiguration,
		OnChange: n.Heartbeats.AnnounceSoon, Log: o.Log, Metrics: o.Metrics,
	}
	n.questions.Handle(datagram.Freshness, n.freshness.Answer)
	n.handler.Fresh = n.fresh
}

// Clock returns the clock of the proofs.
func (n *Node) Clock() boottime.Clock { return n.clock }

// ConfirmConfiguration records that the store has answered to a call that was started at a
// time, and that its configuration is in force here or is older than the one that is.
func (n *Node) ConfirmConfiguration(started boottime.Instant, era store.Era, source freshness.Source) {
	n.freshness.Confirmed(freshness.Proof{Moment: started, Version: n.configVersion(), Era: era, Source: source})
}

// fresh reports whether the configuration is proved to be recent enough for keys. Without a
// bound the clock isn't read.
func (n *Node) fresh() bool {
	return n.confirmation.Bound() <= 0 || n.confirmation.Fresh(n.clock())
}

// confirmed reports whether the requests of the configuration in force may be served as far
// as its proof is concerned.
func (n *Node) confirmed() bool {
	c := n.config.Load()
	return c == nil || !c.NeedsKeys() || n.fresh()
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (n *Node) configVersion() id.Version {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// proofState returns the proof for operators, nil if there is none or no bound.
func (n *Node) proofState() *entryview.Proof {
	p, held := n.confirmation.Proof()
	bound, now := n.confirmation.Bound(), n.clock()
	if !held || bound <= 0 {
		return nil
	}
	return &entryview.Proof{
		Version: p.Version, Era: p.Era, Age: now.Sub(p.Moment), Bound: bound, Fresh: n.confirmation.Fresh(now),
		Source: string(p.Source), From: p.From, Origin: p.Origin,
	}
}

func (n *Node) readConfiguration(ctx context.Context) error {
	if n.ReadConfiguration == nil {
		return eris.New("no store to read the configuration from")
	}
	return n.ReadConfiguration(ctx)
}

func (n *Node) askFreshness(ctx context.Context, to netip.AddrPort, question []byte) ([]byte, error) {
	return n.questions.Ask(ctx, to, datagram.Freshness, question)
}

// freshnessPeers returns a function that returns the other live entries, sorted by name, as of
// peersTTL ago at most. It is not safe for concurrent use.
func (n *Node) freshnessPeers() func() []freshness.Peer {
	var (
		peers []freshness.Peer
		at    time.Time
	)
	return func() []freshness.Peer {
		now := time.Now()
		if now.Sub(at) < peersTTL {
			return peers
		}
		alive := n.Heartbeats.Alive(now)
		peers, at = make([]freshness.Peer, 0, len(alive)), now
		for i := range alive {
			peers = append(peers, freshness.Peer{Instance: alive[i].Instance, Zone: alive[i].Zone, Address: alive[i].Relay})
		}
		return peers
	}
}

// fetchConfiguration takes over the configuration of another entry if it is newer than the
// one in force, whatever the store holds. This is no proof.
func (n *Node) fetchConfiguration(ctx context.Context, from id.Instance) error {
	s, err := n.requestSnapshot(ctx, from, map[follow.Kind]store.Version{follow.Configuration: {}})
	if err != nil {
		return err
	}
	if s.Configuration == nil || s.Configuration.Value == nil {
		return eris.New("no configuration in the snapshot")
	}
	n.Configure(s.Configuration.Value)
	return nil
}
