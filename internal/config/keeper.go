package config

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/publish"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// FetchMethod is the method by which entries hand each other publications.
const FetchMethod = "config.fetch"

const (
	minPause     = 250 * time.Millisecond
	maxPause     = 8 * time.Second
	relayPause   = time.Second
	fetchTimeout = time.Second
	maxAsked     = 8
)

type (
	// Keeper keeps the configuration in force. Its exported fields must not
	// change after Run began. It is safe for concurrent use.
	Keeper struct {
		// Store is the platform's store.
		Store store.Store
		// Caller asks other entries; nil asks none.
		Caller peer.Caller
		// Peers lists the entries that may be asked at the start.
		Peers func() []id.Instance
		// Relay tells whether this entry reads the store; nil means always.
		// Others learn from peers alone, except at their start.
		Relay func() bool
		// Log takes an event for each change; nil means slog.Default.
		Log *slog.Logger

		table   atomic.Pointer[Table]
		started atomic.Bool
		mu      sync.Mutex
		report  Report
		changed chan struct{}
		notify  []func(*Table)
		news    chan offer
	}

	// Report says what a keeper holds and what it has seen.
	Report struct {
		// Ref is the publication in force.
		Ref Ref `json:"ref"`
		// Since is when it was put in force here.
		Since time.Time `json:"since"`
		// From names the peer it was learned from; empty means the store.
		From id.Instance `json:"from,omitempty"`
		// StoreAt is when the store last showed the version in force or a
		// newer one; zero if it never did.
		StoreAt time.Time `json:"storeAt"`
		// Older counts offers below the version in force, which were ignored.
		Older int `json:"older"`
		// Contradicting counts offers of another publication under the version
		// in force, which were ignored.
		Contradicting int `json:"contradicting"`
		// Invalid counts publications that could not be decoded.
		Invalid int `json:"invalid"`
		// FetchFailures counts peers that did not hand over a version.
		FetchFailures int `json:"fetchFailures"`
	}

	offer struct {
		from id.Instance
		ref  Ref
	}

	fetch struct {
		// Above asks for a version above this one.
		Above id.Version `json:"above"`
	}

	fetched struct {
		// Publication is absent if none is above the asked version.
		Publication json.RawMessage `json:"publication,omitempty"`
	}
)

// Current returns the table in force, nil if no version is known yet.
func (k *Keeper) Current() *Table { return k.table.Load() }

// Ready tells whether the entry may serve: it holds a version, and all that it
// asked at its start have answered or failed.
func (k *Keeper) Ready() bool { return k.started.Load() && k.table.Load() != nil }

// Report returns what the keeper holds and has seen.
func (k *Keeper) Report() Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.report
}

// OnChange calls f with each table that is put in force from now on, in
// order. f must not block.
func (k *Keeper) OnChange(f func(*Table)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notify = append(k.notify, f)
}

// AtLeast waits until the version in force is at least v; it returns false if
// ctx ends first. An entry asks it for a caller that has seen v elsewhere.
func (k *Keeper) AtLeast(ctx context.Context, v id.Version) bool {
	for {
		k.mu.Lock()
		if k.changed == nil {
			k.changed = make(chan struct{})
		}
		changed := k.changed
		k.mu.Unlock()
		if k.Current().Version() >= v {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Heard takes the version that a peer says it holds; the id may be absent. It
// doesn't block; a newer version is fetched from the peer by Run.
func (k *Keeper) Heard(from id.Instance, ref Ref) {
	if Judge(k.Current().Ref(), ref) != Newer {
		return
	}
	select {
	case k.queue() <- offer{from, ref}:
	default: // one is waiting; the next heartbeat brings this news again
	}
}

// HandleFetch is the peer.Handler of FetchMethod.
func (k *Keeper) HandleFetch(_ context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	var f fetch
	if err := json.Unmarshal(params, &f); err != nil {
		return nil, eris.Wrap(err, "decode fetch")
	}
	if t := k.Current(); t.Version() > f.Above {
		return fetched{Publication: t.raw}, nil
	}
	return fetched{}, nil
}

// Run learns of publications until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { k.followPeers(ctx) })
	var first store.Version
	var asked sync.WaitGroup
	asked.Go(func() { first = k.readStore(ctx) })
	asked.Go(func() { k.askPeers(ctx) })
	asked.Wait()
	k.started.Store(true)
	k.followStore(ctx, first)
	wg.Wait()
	return nil
}

func (k *Keeper) queue() chan offer {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.news == nil {
		k.news = make(chan offer, 1)
	}
	return k.news
}

// askPeers asks some peers at the same time for what they hold.
func (k *Keeper) askPeers(ctx context.Context) {
	if k.Caller == nil || k.Peers == nil {
		return
	}
	peers := k.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var wg sync.WaitGroup
	for _, p := range peers[:min(len(peers), maxAsked)] {
		wg.Go(func() { k.fetch(ctx, p) })
	}
	wg.Wait()
}

// followPeers fetches the versions that heartbeats speak of. While no version
// is known it asks peers by itself.
func (k *Keeper) followPeers(ctx context.Context) {
	for {
		select {
		case o := <-k.queue():
			if Judge(k.Current().Ref(), o.ref) == Newer {
				k.fetch(ctx, o.from)
			}
		case <-time.After(jitter(maxPause)):
			if k.Current() == nil {
				k.askPeers(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) fetch(ctx context.Context, from id.Instance) {
	if k.Caller == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var answer fetched
	err := k.Caller.Call(ctx, from, FetchMethod, fetch{Above: k.Current().Version()}, &answer)
	if err != nil {
		k.count(func(r *Report) { r.FetchFailures++ })
		return
	}
	if len(answer.Publication) > 0 {
		k.offer(answer.Publication, from)
	}
}

// readStore reads the object in force once and returns its version there, 0 if
// it could not be read.
func (k *Keeper) readStore(ctx context.Context) store.Version {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	o, err := k.Store.Get(ctx, publish.CurrentKey)
	if err != nil {
		return 0
	}
	k.offer(o.Value, "")
	return o.Version
}

// followStore watches the store. After a watch that ended unchanged it reads
// once, which confirms the version and finds a change that a watch missed.
func (k *Keeper) followStore(ctx context.Context, seen store.Version) {
	pause := minPause
	for ctx.Err() == nil {
		if k.Relay != nil && !k.Relay() {
			sleep(ctx, jitter(relayPause))
			continue
		}
		began := time.Now()
		o, err := k.Store.Watch(ctx, publish.CurrentKey, seen)
		switch {
		case err == nil:
			seen = o.Version
			if k.offer(o.Value, "") == Newer {
				pause = minPause
				continue
			}
		case errors.Is(err, store.ErrNotFound):
			seen = 0
		case time.Since(began) > maxPause:
			pause = minPause
			if v := k.readStore(ctx); v != 0 {
				seen = v
				continue
			}
		}
		sleep(ctx, jitter(pause))
		pause = min(2*pause, maxPause)
	}
}

// offer puts an encoded publication in force if it is newer.
func (k *Keeper) offer(raw json.RawMessage, from id.Instance) Verdict {
	t, err := decode(raw)
	if err != nil {
		k.count(func(r *Report) { r.Invalid++ })
		k.logger().Error("configuration", "event", "invalid", "from", from, "error", err)
		return Older
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.table.Load().Ref()
	verdict := Judge(held, t.Ref())
	now := time.Now()
	if from == "" && (verdict == Newer || verdict == Same) {
		k.report.StoreAt = now
	}
	switch verdict {
	case Newer:
		k.table.Store(t)
		k.report.Ref, k.report.Since, k.report.From = t.Ref(), now, from
		k.logger().Info("configuration", "event", "inForce", "version", t.Version(), "from", from)
		k.tell(t)
	case Older:
		k.report.Older++
		k.logger().Warn("configuration", "event", "older", "code", result.OlderState, "version", t.Version(), "held", held.Version, "from", from)
	case Contradicting:
		k.report.Contradicting++
		k.logger().Error("configuration", "event", "contradicting", "code", result.OlderState, "version", t.Version(), "id", t.Ref().ID, "held", held.ID, "from", from)
	}
	return verdict
}

func (k *Keeper) tell(t *Table) {
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	for _, f := range k.notify {
		f(t)
	}
}

func (k *Keeper) count(f func(*Report)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(&k.report)
}

func (k *Keeper) logger() *slog.Logger {
	if k.Log == nil {
		return slog.Default()
	}
	return k.Log
}

// jitter returns between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
