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

// FetchMethod is the RPC method by which an entry fetches a publication from
// another.
const FetchMethod = "config.fetch"

const (
	minPause      = 250 * time.Millisecond
	maxPause      = 8 * time.Second
	nonRelayPause = time.Second
	fetchTimeout  = time.Second
	maxStartPeers = 8
)

type (
	// Keeper maintains the active configuration. Its exported fields must not
	// change after Run was called. It is safe for concurrent use.
	Keeper struct {
		// Store is the platform's store.
		Store store.Store
		// Caller calls other entries; nil disables fetching from peers.
		Caller peer.Caller
		// Peers returns the entries that may be queried at startup.
		Peers func() []id.Instance
		// Relay reports whether this entry watches the store; nil means
		// always. Other entries receive publications only from peers, except
		// at startup.
		Relay func() bool
		// Log receives a message for each change; nil means slog.Default.
		Log *slog.Logger

		table   atomic.Pointer[Table]
		started atomic.Bool
		mu      sync.Mutex
		report  Report
		changed chan struct{}
		notify  []func(*Table)
		offers  chan peerOffer
	}

	// Report is the active publication of a keeper and its counts of rejected
	// ones.
	Report struct {
		// Ref is the active publication.
		Ref Ref `json:"ref"`
		// Since is when it became active at this entry.
		Since time.Time `json:"since"`
		// From is the peer that it was fetched from; empty means the store.
		From id.Instance `json:"from,omitempty"`
		// StoreAt is when the store last returned the active version or a
		// newer one; zero if it never did.
		StoreAt time.Time `json:"storeAt"`
		// Older counts the ignored publications below the active version.
		Older int `json:"older"`
		// Contradicting counts the ignored publications with the active
		// version but another id.
		Contradicting int `json:"contradicting"`
		// Invalid counts the publications that could not be decoded.
		Invalid int `json:"invalid"`
		// FetchFailures counts the failed fetches from peers.
		FetchFailures int `json:"fetchFailures"`
	}

	peerOffer struct {
		from id.Instance
		ref  Ref
	}

	fetch struct {
		// Above is the version that the requested publication must exceed.
		Above id.Version `json:"above"`
	}

	fetched struct {
		// Publication is absent if the peer has none with a higher version.
		Publication json.RawMessage `json:"publication,omitempty"`
	}
)

// Current returns the active table, nil if there is none yet.
func (k *Keeper) Current() *Table { return k.table.Load() }

// Ready reports whether the entry may serve: it holds a version, and the store and
// all peers queried at startup have answered or failed.
func (k *Keeper) Ready() bool { return k.started.Load() && k.table.Load() != nil }

// Report returns the active publication and the counts of rejected ones.
func (k *Keeper) Report() Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.report
}

// OnChange registers f to be called with each table that becomes active from now
// on, in order. f must not block.
func (k *Keeper) OnChange(f func(*Table)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notify = append(k.notify, f)
}

// WaitFor waits until the active version is at least v; it returns false if ctx
// ends first. It is used for a caller that has seen v at another entry.
func (k *Keeper) WaitFor(ctx context.Context, v id.Version) bool {
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

// Observe receives the version that a peer reports to hold; the id may be absent.
// It does not block; Run fetches a newer version from the peer.
func (k *Keeper) Observe(from id.Instance, ref Ref) {
	if Compare(k.Current().Ref(), ref) != Newer {
		return
	}
	select {
	case k.queue() <- peerOffer{from, ref}:
	default: // the queue is full; the next heartbeat repeats the version
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

// Run receives and activates publications until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { k.followPeers(ctx) })
	var first store.Version
	var asked sync.WaitGroup
	asked.Go(func() {
		// Entries start without the store after a short time.
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		first = k.readStore(ctx)
	})
	asked.Go(func() { k.askPeers(ctx) })
	asked.Wait()
	k.started.Store(true)
	k.followStore(ctx, first)
	wg.Wait()
	return nil
}

func (k *Keeper) queue() chan peerOffer {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.offers == nil {
		k.offers = make(chan peerOffer, 1)
	}
	return k.offers
}

// askPeers fetches from some peers concurrently, and waits for all of them.
func (k *Keeper) askPeers(ctx context.Context) {
	if k.Caller == nil || k.Peers == nil {
		return
	}
	peers := k.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var wg sync.WaitGroup
	for _, p := range peers[:min(len(peers), maxStartPeers)] {
		wg.Go(func() { k.fetch(ctx, p) })
	}
	wg.Wait()
}

// followPeers fetches the newer versions reported by heartbeats. While no version
// is active it queries peers periodically.
func (k *Keeper) followPeers(ctx context.Context) {
	for {
		select {
		case o := <-k.queue():
			if Compare(k.Current().Ref(), o.ref) == Newer {
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
		k.updateReport(func(r *Report) { r.FetchFailures++ })
		return
	}
	if len(answer.Publication) > 0 {
		k.offer(answer.Publication, from)
	}
}

// readStore reads the current publication once and returns the version of its
// object, zero if the read failed.
func (k *Keeper) readStore(ctx context.Context) store.Version {
	o, err := k.Store.Get(ctx, publish.CurrentKey)
	if err != nil {
		return store.Version{}
	}
	k.offer(o.Value, "")
	return o.Version
}

// followStore watches the store. After a watch that ended without a change it reads
// once, which confirms the version and detects a change that the watch missed.
func (k *Keeper) followStore(ctx context.Context, seen store.Version) {
	pause := minPause
	for ctx.Err() == nil {
		if k.Relay != nil && !k.Relay() {
			sleep(ctx, jitter(nonRelayPause))
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
			seen = store.Version{}
		case time.Since(began) > maxPause:
			pause = minPause
			if v := k.readStore(ctx); !v.IsZero() {
				seen = v
				continue
			}
		}
		sleep(ctx, jitter(pause))
		pause = min(2*pause, maxPause)
	}
}

// offer activates an encoded publication if it is newer.
func (k *Keeper) offer(raw json.RawMessage, from id.Instance) Relation {
	t, err := decode(raw)
	if err != nil {
		k.updateReport(func(r *Report) { r.Invalid++ })
		k.logger().Error("configuration", "event", "invalid", "from", from, "error", err)
		return Older
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.table.Load().Ref()
	relation := Compare(held, t.Ref())
	now := time.Now()
	if from == "" && (relation == Newer || relation == Same) {
		k.report.StoreAt = now
	}
	switch relation {
	case Newer:
		k.table.Store(t)
		k.report.Ref, k.report.Since, k.report.From = t.Ref(), now, from
		k.logger().Info("configuration", "event", "inForce", "version", t.Version(), "from", from)
		k.notifyAll(t)
	case Older:
		k.report.Older++
		k.logger().Warn("configuration", "event", "older", "code", result.OlderState, "version", t.Version(), "held", held.Version, "from", from)
	case Contradicting:
		k.report.Contradicting++
		k.logger().Error("configuration", "event", "contradicting", "code", result.OlderState, "version", t.Version(), "id", t.Ref().ID, "held", held.ID, "from", from)
	}
	return relation
}

func (k *Keeper) notifyAll(t *Table) {
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	for _, f := range k.notify {
		f(t)
	}
}

func (k *Keeper) updateReport(f func(*Report)) {
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

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
