package lease

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	defaultLifetime = 15 * time.Second
	roundsALifetime = 3
	ticksALifetime  = 30
	callTimeout     = 2 * time.Second
	maxCalls        = 4
)

type (
	// Keeper takes, renews and gives back the leases below a prefix. Its
	// exported fields must not change after Run began. It is safe for
	// concurrent use.
	Keeper struct {
		// Store is the platform's store.
		Store store.Store
		// Prefix begins the keys of the leases, such as "lease/home/".
		Prefix string
		// Self is this process.
		Self Owner
		// Lifetime is how long a confirmation lasts; 0 means 15 s. It must be
		// the same at all entries.
		Lifetime time.Duration
		// Deadline is the longest deadline of a request; it bounds FreeAt.
		Deadline time.Duration
		// Timed lets leases be taken over that were not renewed for Lifetime.
		Timed bool
		// Names lists the leases that exist, without the prefix.
		Names func() []string
		// Want tells whether this process should hold a lease.
		Want func(name string) bool
		// Sparse saves the reads of a process that neither wants nor holds a
		// lease, so that reads grow with the leases and not with the fleet.
		// Such a process doesn't learn who holds them.
		Sparse bool
		// Gone tells whether the platform says that an instance has ended;
		// nil means that it never does.
		Gone func(id.Instance) bool
		// Log takes an event for each change; nil means slog.Default.
		Log *slog.Logger

		mu      sync.Mutex
		holders map[string]*Holder
		readAt  time.Time
	}

	// Grant is the right to act under a term.
	Grant struct {
		// Term is the term held.
		Term id.Term `json:"term"`
		// Remaining is how long it is held for, counted from the call.
		Remaining time.Duration `json:"remaining"`
		// FreeAt is when nothing granted under earlier terms can be running.
		FreeAt time.Time `json:"freeAt"`
	}
)

// Held returns the right to act under a lease, false if this process has none
// now. It must be asked right before each act.
func (k *Keeper) Held(name string) (Grant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.holders[name]
	if !ok {
		return Grant{}, false
	}
	g := Grant{Term: h.record.Term, Remaining: h.Remaining(time.Now()), FreeAt: h.FreeAt()}
	return g, g.Remaining > 0
}

// Record returns a lease as last seen and how old that knowledge may be; it is
// false for a lease that was never seen.
func (k *Keeper) Record(name string) (Record, time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.holders[name]
	if !ok || h.version == 0 {
		return Record{}, 0, false
	}
	return h.record, time.Since(k.readAt), true
}

// Run keeps the leases until ctx ends, and then gives back those held.
func (k *Keeper) Run(ctx context.Context) error {
	go k.tick(ctx)
	for ctx.Err() == nil {
		k.round(ctx, k.Want)
		period := k.lifetime() / roundsALifetime
		select {
		case <-time.After(period*4/5 + rand.N(period/5)):
		case <-ctx.Done():
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	k.round(last, func(string) bool { return false })
	return nil
}

// tick notes several times a lifetime that the process runs.
func (k *Keeper) tick(ctx context.Context) {
	ticker := time.NewTicker(k.lifetime() / ticksALifetime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		gone := k.gone(k.Self.Instance)
		k.mu.Lock()
		now := time.Now()
		for _, h := range k.holders {
			h.Tick(now)
			if gone {
				h.Suspect()
			}
		}
		k.mu.Unlock()
	}
}

// Raise asks for a new term of a lease that this process holds. It returns at
// once; Held tells the new term once the store has it.
func (k *Keeper) Raise(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.holders[name]; ok {
		h.Raise()
	}
}

// round reads all leases by one call and makes the writes that are due.
func (k *Keeper) round(ctx context.Context, want func(string) bool) {
	if k.Sparse && !k.concerned(want) || !k.read(ctx) {
		return
	}
	calls := make(chan struct{}, maxCalls)
	var wg sync.WaitGroup
	for _, name := range k.Names() {
		calls <- struct{}{}
		wg.Go(func() {
			k.write(ctx, name, want(name))
			<-calls
		})
	}
	wg.Wait()
}

// concerned tells whether this process wants or holds any lease.
func (k *Keeper) concerned(want func(string) bool) bool {
	names := k.Names()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, name := range names {
		if h, ok := k.holders[name]; want(name) || ok && h.mine() {
			return true
		}
	}
	return false
}

func (k *Keeper) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	objects, err := k.Store.List(ctx, k.Prefix)
	if err != nil {
		return false
	}
	found := make(map[string]store.Object, len(objects))
	for _, o := range objects {
		found[strings.TrimPrefix(o.Key, k.Prefix)] = o
	}
	names := k.Names()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.readAt = began
	for _, name := range names {
		o := found[name]
		var r Record
		if o.Version != 0 && json.Unmarshal(o.Value, &r) != nil {
			k.logger().Error("lease", "event", "invalid", "name", name)
			continue
		}
		k.holder(name).Read(now, r, o.Version)
	}
	return true
}

func (k *Keeper) write(ctx context.Context, name string, want bool) {
	k.mu.Lock()
	began := time.Now()
	w, ok := k.holder(name).Next(began, want, k.gone)
	k.mu.Unlock()
	if !ok {
		return
	}
	value, err := json.Marshal(w.Record)
	if err != nil {
		return // a record always encodes
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := k.Store.Put(ctx, k.Prefix+name, value, w.condition())
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.holder(name)
	switch {
	case err == nil:
		if w.Record.Term != h.record.Term || w.Record.Released {
			k.logger().Info("lease", "event", "wrote", "name", name, "term", w.Record.Term, "released", w.Record.Released)
		}
		h.Wrote(began, time.Now(), w, v)
	case errors.Is(err, store.ErrUnavailable):
	default:
		k.logger().Warn("lease", "event", "unsure", "code", result.LeaseUnsure, "name", name, "term", w.Record.Term, "error", err)
		h.Failed(errors.Is(err, store.ErrConflict))
	}
}

func (w Write) condition() store.Condition {
	if w.Version == 0 {
		return store.IfAbsent()
	}
	return store.IfVersion(w.Version)
}

func (k *Keeper) holder(name string) *Holder {
	h, ok := k.holders[name]
	if !ok {
		if k.holders == nil {
			k.holders = map[string]*Holder{}
		}
		h = &Holder{Self: k.Self, Lifetime: k.lifetime(), Deadline: k.Deadline, Timed: k.Timed}
		h.Tick(time.Now())
		k.holders[name] = h
	}
	return h
}

func (k *Keeper) gone(name id.Instance) bool { return k.Gone != nil && k.Gone(name) }

func (k *Keeper) lifetime() time.Duration {
	if k.Lifetime == 0 {
		return defaultLifetime
	}
	return k.Lifetime
}

func (k *Keeper) logger() *slog.Logger {
	if k.Log == nil {
		return slog.Default()
	}
	return k.Log
}
