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
	defaultLifetime   = 15 * time.Second
	roundsPerLifetime = 3
	ticksPerLifetime  = 30
	callTimeout       = 2 * time.Second
	maxCalls          = 4
)

type (
	// Keeper acquires, renews and releases the leases under a key prefix. Its
	// exported fields must not change after Run was called. It is safe for
	// concurrent use.
	Keeper struct {
		// Store is the platform's store.
		Store store.Store
		// Prefix is the key prefix of the leases, such as "lease/home/".
		Prefix string
		// Self is this process.
		Self Owner
		// Lifetime is how long a confirmation is valid; 0 means 15 s. It must
		// be the same at all entries.
		Lifetime time.Duration
		// Deadline is the longest deadline of a request; it determines FreeAt.
		Deadline time.Duration
		// Timed allows the takeover of leases that were not renewed for
		// Lifetime.
		Timed bool
		// Names returns the names of all leases, without the prefix.
		Names func() []string
		// Want reports whether this process should hold a lease.
		Want func(name string) bool
		// Sparse omits the reads of a process that neither wants nor holds a
		// lease, so that the number of reads grows with the leases and not
		// with the entries. Such a process has no record of the holders.
		Sparse bool
		// Gone reports whether the platform lists an instance as gone; nil
		// means never.
		Gone func(id.Instance) bool
		// Log receives a message for each change; nil means slog.Default.
		Log *slog.Logger

		mu      sync.Mutex
		holders map[string]*Holder
		readAt  time.Time
	}

	// Grant is the permission to act in a term.
	Grant struct {
		// Term is the term held.
		Term id.Term `json:"term"`
		// Remaining is how long the lease is valid, counted from the call.
		Remaining time.Duration `json:"remaining"`
		// FreeAt is the time after which no request admitted in an earlier
		// term can still be running.
		FreeAt time.Time `json:"freeAt"`
	}
)

// Held returns the permission to act under a lease, false if this process does not
// hold the lease now. It must be called right before each action.
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

// Record returns the last read record of a lease and its staleness; false for a
// lease that was never read or had no record.
func (k *Keeper) Record(name string) (Record, time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.holders[name]
	if !ok || h.version.IsZero() {
		return Record{}, 0, false
	}
	return h.record, time.Since(k.readAt), true
}

// Run acquires and renews leases until ctx ends, and then releases those held.
func (k *Keeper) Run(ctx context.Context) error {
	go k.tick(ctx)
	for ctx.Err() == nil {
		k.round(ctx, k.Want)
		period := k.lifetime() / roundsPerLifetime
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

// tick calls Tick on all holders several times per lifetime.
func (k *Keeper) tick(ctx context.Context) {
	ticker := time.NewTicker(k.lifetime() / ticksPerLifetime)
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

// RequestTerm requests a new term of a lease that this process holds. It doesn't
// wait; Held returns the new term once it is written to the store.
func (k *Keeper) RequestTerm(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.holders[name]; ok {
		h.RequestTerm()
	}
}

// round reads all leases in one call and makes the writes that are due.
func (k *Keeper) round(ctx context.Context, want func(string) bool) {
	if k.Sparse && !k.involved(want) || !k.read(ctx) {
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

// involved reports whether this process wants or holds any lease.
func (k *Keeper) involved(want func(string) bool) bool {
	names := k.Names()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, name := range names {
		if h, ok := k.holders[name]; want(name) || ok && h.held() {
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
		if !o.Version.IsZero() && json.Unmarshal(o.Value, &r) != nil {
			k.logger().Error("lease", "event", "invalid", "name", name)
			continue
		}
		k.holder(name).ApplyRead(now, r, o.Version)
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
		return // not reached: a Record can always be encoded
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
		h.ApplyWrite(began, time.Now(), w, v)
	case errors.Is(err, store.ErrUnavailable):
	default:
		k.logger().Warn("lease", "event", "unsure", "code", result.LeaseUnsure, "name", name, "term", w.Record.Term, "error", err)
		h.WriteFailed(errors.Is(err, store.ErrConflict))
	}
}

func (w Write) condition() store.Condition {
	if w.Version.IsZero() {
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
