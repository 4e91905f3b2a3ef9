package capacity

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/config"
	"github.com/shallotpier/shallotpier/internal/loads"
	"github.com/shallotpier/shallotpier/internal/membership"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	zonePeers          = 165
	measuredHeartbeats = 100
	heartbeatAge       = 250 * time.Millisecond
	// ownUses is the product of two services and three regions, as in each
	// current deployment.
	ownUses = 6
)

// membershipMeasures returns the measures of failure detection by heartbeats between
// entries.
func membershipMeasures() []Measure {
	peers := []int{6, 12, 24, 48, 96, zonePeers}
	return []Measure{
		{
			Role: "membership", Quantity: "answer to a beat, B", Size: "peers heard", Sizes: peers, Target: zonePeers,
			Run: func(n int) (float64, error) {
				data, err := json.Marshal(newMembershipTable("a", n).Answer(time.Now(), 1, newOwn(ownUses)))
				return float64(len(data)), err
			},
		},
		{
			Role: "membership", Quantity: "answer of 7 entries, B", Size: "services' regions in use", Sizes: []int{2, 4, 8, 16, 32}, Target: targetSites / fileServers,
			Run: func(n int) (float64, error) {
				data, err := json.Marshal(newMembershipTable("a", 6).Answer(time.Now(), 1, newOwn(n)))
				return float64(len(data)), err
			},
		},
		{
			Role: "membership", Quantity: quantityHeartbeatCost, Size: "peers heard",
			Sizes: peers, Target: zonePeers, Run: heartbeatCost,
		},
		{
			Role: "membership", Quantity: quantityHeartbeatWire, Size: "peers heard",
			Sizes: peers, Target: zonePeers, Run: heartbeatWireBytes,
		},
		{
			Role: "membership", Quantity: "table heap B", Size: "peers", Sizes: []int{1000, 2000, 4000, 5000, 6600}, Target: targetNodes,
			Run: func(n int) (float64, error) {
				return heapBytes(func() any { return newMembershipTable("a", n) }), nil
			},
		},
	}
}

func heartbeatCost(n int) (float64, error) {
	var failed error
	p, a, err := newHeartbeatPair(n)
	if err != nil {
		return 0, err
	}
	defer p.close()
	cost, err := processorMicros(measuredHeartbeats, func(int) {
		if err := exchangeHeartbeat(p, a); err != nil {
			failed = err
		}
	})
	switch {
	case failed != nil:
		return 0, failed
	case len(a.Answer(time.Now(), 1, membership.Own{}).Observed) < n:
		return 0, eris.New("the measurement took longer than the heartbeat timeout")
	}
	return cost, err
}

func heartbeatWireBytes(n int) (float64, error) {
	const rounds = 20
	p, a, err := newHeartbeatPair(n)
	if err != nil {
		return 0, err
	}
	defer p.close()
	if err := exchangeHeartbeat(p, a); err != nil {
		return 0, err
	}
	before := p.bytes.Load()
	for range rounds {
		if err := exchangeHeartbeat(p, a); err != nil {
			return 0, err
		}
	}
	return float64(p.bytes.Load()-before) / rounds, nil
}

// newHeartbeatPair returns two entries that have each received heartbeats from n
// others, and the table of the one that sends.
func newHeartbeatPair(n int) (*nodePair, *membership.Table, error) {
	p, err := newNodePair(context.Background())
	if err != nil {
		return nil, nil, err
	}
	h := &membership.Heartbeat{
		Table: newMembershipTable("b", n), Incarnation: 1, Log: slog.New(slog.DiscardHandler),
		Own: func() membership.Own { return newOwn(ownUses) },
	}
	h.Register(p.b)
	a := newMembershipTable("a", n)
	a.Apply(time.Now(), &membership.Beat{Instance: "b", Incarnation: 1}, true, 0)
	return p, a, nil
}

// exchangeHeartbeat sends one heartbeat and applies the answer.
func exchangeHeartbeat(p *nodePair, a *membership.Table) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var answer membership.Beat
	sent := time.Now()
	if err := p.a.Call(ctx, "b", membership.Method, a.HeartbeatTo("b", sent, 1, newOwn(ownUses)), &answer); err != nil {
		return eris.Wrap(err, "beat")
	}
	if err := answer.Check(); err != nil {
		return err
	}
	a.Apply(time.Now(), &answer, true, time.Since(sent))
	return nil
}

// newOwn returns the own state in the heartbeat of an entry that uses slots of n
// regions of services.
func newOwn(n int) membership.Own {
	own := membership.Own{Config: config.Ref{Version: 4_380_000, ID: "0123456789abcdef0123456789abcdef"}}
	for i := range n {
		own.Uses = append(own.Uses, loads.Use{Service: id.Service("service-" + strconv.Itoa(i/3)), Region: id.Region("region-" + strconv.Itoa(i%3)), Slots: 100})
	}
	return own
}

// newMembershipTable returns the table of an entry that has just received heartbeats
// from n others.
func newMembershipTable(self id.Instance, n int) *membership.Table {
	t := &membership.Table{Self: self}
	now := time.Now()
	t.Tick(now)
	for i := range n {
		b := membership.Beat{
			Instance: id.Instance("entry-" + strconv.Itoa(i)), Incarnation: id.Incarnation(1_796_000_000_000_000_000 + i),
			Own:      newOwn(ownUses),
			Observed: []membership.Observation{{Instance: self, Incarnation: 1, Age: unit.Duration(heartbeatAge)}},
		}
		t.Apply(now, &b, true, 0)
	}
	return t
}
