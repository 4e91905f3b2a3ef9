package membership

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/instances"
	"github.com/shallotpier/shallotpier/internal/lookup"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Method is the JSON-RPC method of heartbeats between entries.
const Method = "membership.beat"

const (
	interval     = 500 * time.Millisecond
	tick         = 100 * time.Millisecond
	callTimeout  = time.Second
	inFlight     = 3
	listInterval = 5 * time.Second
)

type (
	// Heartbeat exchanges heartbeats with the other entries and updates a
	// Table from them. Its exported fields must not change after Run.
	Heartbeat struct {
		// Table is the table to update.
		Table *Table
		// Incarnation is that of this process.
		Incarnation id.Incarnation
		// Peers calls other entries.
		Peers peer.Caller
		// Entries lists the other entries of the deployment.
		Entries []id.Instance
		// Own returns this entry's own state.
		Own func() Own
		// Instances reads the platform's list of instances; nil disables it.
		Instances instances.Lister
		// Applied, if not nil, is called with each heartbeat that was applied
		// to the table.
		Applied func(b *Beat)
		// Changed, if not nil, is called when an entry's state for lookups has
		// changed.
		Changed func()
		// Rand provides the jitter of the heartbeats. Only Run uses it.
		Rand *rand.Rand
		// Log receives a message for each change of an entry's state.
		Log *slog.Logger

		mu     sync.Mutex
		states map[id.Instance]lookup.State
	}

	// registrar registers the handlers of JSON-RPC methods.
	registrar interface {
		Register(method string, handler peer.Handler)
	}
)

// Register registers the handler of heartbeats.
func (h *Heartbeat) Register(r registrar) { r.Register(Method, h.handle) }

// Run sends heartbeats and updates the entries' states until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, to := range h.Entries {
		first := time.Duration(h.Rand.Int64N(int64(interval)))
		wg.Go(func() { h.sendTo(ctx, to, first) })
	}
	if h.Instances != nil {
		first := time.Duration(h.Rand.Int64N(int64(listInterval)))
		wg.Go(func() { h.pollList(ctx, first) })
	}
	for sleep(ctx, tick) {
		h.Table.Tick(time.Now())
		h.updateStates()
	}
	return ctx.Err()
}

// sendTo sends heartbeats to one entry. A slow answer doesn't delay the next
// heartbeat, unless inFlight of them are unanswered.
func (h *Heartbeat) sendTo(ctx context.Context, to id.Instance, first time.Duration) {
	slots := make(chan struct{}, inFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	for wait := first; sleep(ctx, wait); wait = interval {
		select {
		case slots <- struct{}{}:
			wg.Go(func() {
				h.exchange(ctx, to)
				<-slots
			})
		default:
		}
	}
}

func (h *Heartbeat) exchange(ctx context.Context, to id.Instance) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	var answer Beat
	if err := h.Peers.Call(ctx, to, Method, h.Table.HeartbeatTo(to, sent, h.Incarnation, h.Own()), &answer); err != nil {
		return
	}
	if answer.Check() == nil && answer.Instance == to {
		h.apply(&answer, true, time.Since(sent))
	}
}

func (h *Heartbeat) handle(_ context.Context, from peer.Sender, params json.RawMessage) (any, error) {
	var b Beat
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, eris.Wrap(err, "decode beat")
	}
	if err := b.Check(); err != nil {
		return nil, err
	}
	if b.Instance != from.Instance || b.Incarnation != from.Incarnation {
		return nil, eris.Errorf("beat of %s on a connection of %s", b.Instance, from.Instance)
	}
	h.apply(&b, false, 0)
	return h.Table.Answer(time.Now(), h.Incarnation, h.Own()), nil
}

func (h *Heartbeat) apply(b *Beat, answer bool, elapsed time.Duration) {
	if h.Table.Apply(time.Now(), b, answer, elapsed) && h.Applied != nil {
		h.Applied(b)
	}
}

// pollList reads the platform's list at regular intervals.
func (h *Heartbeat) pollList(ctx context.Context, first time.Duration) {
	for wait := first; sleep(ctx, wait); wait = listInterval {
		if all, err := h.Instances.List(ctx); err == nil {
			h.Table.ApplyList(all)
		}
	}
}

// updateStates logs the states that have changed and calls Changed.
func (h *Heartbeat) updateStates() {
	now := time.Now()
	changed := false
	h.mu.Lock()
	if h.states == nil {
		h.states = map[id.Instance]lookup.State{}
	}
	for _, name := range h.Entries {
		m := h.Table.Member(name, now)
		state := m.Lookup()
		if old, ok := h.states[name]; !ok || old != state {
			h.states[name], changed = state, true
			h.Log.Info("member", "member", name, "state", state, "incarnation", m.Incarnation, "silence", m.Silence, "listed", m.Listed)
		}
	}
	h.mu.Unlock()
	if changed && h.Changed != nil {
		h.Changed()
	}
}

// sleep waits for d and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
