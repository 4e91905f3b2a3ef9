package capacity

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/config"
	"github.com/shallotpier/shallotpier/internal/membership"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	zonePeers = 165
	beats     = 500
	beatAge   = 250 * time.Millisecond
)

// belonging returns the measures of the role that knows which other entries
// live.
func belonging() []Measure {
	peers := []int{6, 12, 24, 48, 96, zonePeers}
	return []Measure{
		{
			Role: "membership", Quantity: "beat B", Size: "peers heard", Sizes: peers, Target: zonePeers,
			Run: func(n int) (float64, error) {
				data, err := json.Marshal(heardTable("a", n).Beat(time.Now(), 1, membership.Own{Config: config.Ref{Version: 4_380_000}}))
				return float64(len(data)), err
			},
		},
		{
			Role: "membership", Quantity: "one exchange of beats, both ends, processor us", Size: "peers heard",
			Sizes: peers, Target: zonePeers, Run: exchangeBeats,
		},
		{
			Role: "membership", Quantity: "one exchange of beats, both directions on the wire, B", Size: "peers heard",
			Sizes: peers, Target: zonePeers, Run: beatWire,
		},
		{
			Role: "membership", Quantity: "table heap B", Size: "peers", Sizes: []int{1000, 2000, 4000, 5000, 6600}, Target: targetNodes,
			Run: func(n int) (float64, error) {
				return heapBytes(func() any { return heardTable("a", n) }), nil
			},
		},
	}
}

func exchangeBeats(n int) (float64, error) {
	var failed error
	p, a, err := beating(n)
	if err != nil {
		return 0, err
	}
	defer p.close()
	cost, err := processorMicros(beats, func(int) {
		if err := exchangeBeat(p, a); err != nil {
			failed = err
		}
	})
	if failed != nil {
		return 0, failed
	}
	return cost, err
}

func beatWire(n int) (float64, error) {
	const rounds = 20
	p, a, err := beating(n)
	if err != nil {
		return 0, err
	}
	defer p.close()
	if err := exchangeBeat(p, a); err != nil {
		return 0, err
	}
	before := p.bytes.Load()
	for range rounds {
		if err := exchangeBeat(p, a); err != nil {
			return 0, err
		}
	}
	return float64(p.bytes.Load()-before) / rounds, nil
}

// beating returns two entries that have each heard n others, and the table of
// the one that sends.
func beating(n int) (*nodePair, *membership.Table, error) {
	p, err := pair(context.Background())
	if err != nil {
		return nil, nil, err
	}
	h := &membership.Heartbeat{
		Table: heardTable("b", n), Incarnation: 1, Log: slog.New(slog.DiscardHandler),
		Own: func() membership.Own { return membership.Own{Config: config.Ref{Version: 4_380_000}} },
	}
	h.Register(p.b)
	return p, heardTable("a", n), nil
}

// exchangeBeat does what a heartbeat does once.
func exchangeBeat(p *nodePair, a *membership.Table) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var answer membership.Beat
	sent := time.Now()
	if err := p.a.Call(ctx, "b", membership.Method, a.Beat(sent, 1, membership.Own{Config: config.Ref{Version: 4_380_000}}), &answer); err != nil {
		return eris.Wrap(err, "beat")
	}
	if err := answer.Check(); err != nil {
		return err
	}
	a.Take(time.Now(), &answer, true, time.Since(sent))
	return nil
}

// heardTable returns the table of an entry that has just heard n others. It
// takes their beats as heard in the future, so that they stay heard while a
// measure runs.
func heardTable(self id.Instance, n int) *membership.Table {
	t := &membership.Table{Self: self}
	now := time.Now().Add(time.Minute)
	t.Tick(now)
	for i := range n {
		b := membership.Beat{
			Instance: id.Instance("entry-" + strconv.Itoa(i)), Incarnation: id.Incarnation(1_796_000_000_000_000_000 + i),
			Own:   membership.Own{Config: config.Ref{Version: 4_380_000}},
			Heard: []membership.Heard{{Instance: self, Incarnation: 1, Age: unit.Duration(beatAge)}},
		}
		t.Take(now, &b, true, 0)
	}
	return t
}
