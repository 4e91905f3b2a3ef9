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

// Method carries beats between entries.
const Method = "membership.beat"

const (
	interval     = 500 * time.Millisecond
	tick         = 100 * time.Millisecond
	callTimeout  = time.Second
	inFlight     = 3
	listInterval = 5 * time.Second
)

type (
	// Heartbeat keeps a Table up to date. Its exported fields must not change
	// after Run.
	Heartbeat struct {
		// Table is kept up to date.
		Table *Table
		// Incarnation is that of this process.
		Incarnation id.Incarnation
		// Peers calls other entries.
		Peers peer.Caller
		// Entries lists the other entries of the deployment.
		Entries []id.Instance
		// Own returns what this entry says of itself.
		Own func() Own
		// Instances is the platform's list; nil asks nobody.
		Instances instances.Lister
		// Took is called with each beat that counted; nil is not called.
		Took func(b *Beat)
		// Changed is called when an entry's state for look-ups has changed;
		// nil is not called.
		Changed func()
		// Rand jitters the beats. It is used by Run alone.
		Rand *rand.Rand
		// Log gets a line for each change.
		Log *slog.Logger

		mu    sync.Mutex
		known map[id.Instance]lookup.State
	}

	// registrar takes the handlers of methods.
	registrar interface {
		Register(method string, handler peer.Handler)
	}
)

// Register registers the method that Heartbeat answers.
func (h *Heartbeat) Register(r registrar) { r.Register(Method, h.handle) }

// Run sends beats and judges what is heard until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, to := range h.Entries {
		first := time.Duration(h.Rand.Int64N(int64(interval)))
		wg.Go(func() { h.beatTo(ctx, to, first) })
	}
	if h.Instances != nil {
		first := time.Duration(h.Rand.Int64N(int64(listInterval)))
		wg.Go(func() { h.readList(ctx, first) })
	}
	for sleep(ctx, tick) {
		h.Table.Tick(time.Now())
		h.judge()
	}
	return ctx.Err()
}

// beatTo sends beats to one entry. A slow answer doesn't hold up the next beat.
func (h *Heartbeat) beatTo(ctx context.Context, to id.Instance, first time.Duration) {
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
	if err := h.Peers.Call(ctx, to, Method, h.Table.BeatTo(to, sent, h.Incarnation, h.Own()), &answer); err != nil {
		return
	}
	if answer.Check() == nil && answer.Instance == to {
		h.take(&answer, true, time.Since(sent))
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
	h.take(&b, false, 0)
	return h.Table.Beat(time.Now(), h.Incarnation, h.Own()), nil
}

func (h *Heartbeat) take(b *Beat, answer bool, elapsed time.Duration) {
	if h.Table.Take(time.Now(), b, answer, elapsed) && h.Took != nil {
		h.Took(b)
	}
}

// readList reads the platform's list now and then.
func (h *Heartbeat) readList(ctx context.Context, first time.Duration) {
	for wait := first; sleep(ctx, wait); wait = listInterval {
		if all, err := h.Instances.List(ctx); err == nil {
			h.Table.List(all)
		}
	}
}

// judge tells of states that have changed.
func (h *Heartbeat) judge() {
	now := time.Now()
	changed := false
	h.mu.Lock()
	if h.known == nil {
		h.known = map[id.Instance]lookup.State{}
	}
	for _, name := range h.Entries {
		m := h.Table.Member(name, now)
		state := m.Lookup()
		if old, ok := h.known[name]; !ok || old != state {
			h.known[name], changed = state, true
			h.Log.Info("member", "member", name, "state", state, "incarnation", m.Incarnation, "silence", m.Silence, "listed", m.Listed)
		}
	}
	h.mu.Unlock()
	if changed && h.Changed != nil {
		h.Changed()
	}
}

// sleep waits; it is false if ctx ended first.
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
