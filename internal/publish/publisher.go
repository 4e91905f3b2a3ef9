package publish

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	pause   = 200 * time.Millisecond
	idBytes = 16
)

type (
	// Publisher submits service files. It is safe for concurrent use.
	Publisher struct {
		// Store is the platform's store.
		Store store.Store
		// Author names who publishes.
		Author string
		// Rules check submissions.
		Rules Rules
	}

	// Submission is what an operator wants to change.
	Submission struct {
		// Files replace those of the same service.
		Files []service.File
		// Remove lists services to be removed.
		Remove []id.Service
		// Base is the version that the operator worked on; 0 means whatever
		// is in force when the submission is prepared.
		Base id.Version
	}

	// Draft is a prepared submission, of which nothing is written yet.
	Draft struct {
		// Ticket identifies the submission.
		Ticket Ticket
		// Next is the publication that it would be.
		Next *Publication
		// Base is the publication that it would replace; nil for the first.
		Base *Publication
		// Difference is what it changes in Base.
		Difference Difference

		base   store.Object
		value  []byte
		unsure bool
	}
)

// Prepare checks a submission against the version in force. It writes nothing,
// and returns either a draft or why there is none. It waits for the store
// until ctx ends.
func (p *Publisher) Prepare(ctx context.Context, s Submission) (*Draft, *Outcome) {
	d := new(Draft)
	version := id.Version(1)
	for {
		err := p.readBase(ctx, d, &version)
		if err == nil {
			break
		}
		if !wait(ctx) {
			return nil, &Outcome{Code: result.StoreUnavailable, Cause: err.Error()}
		}
	}
	var files []service.File
	if d.Base != nil {
		files = d.Base.Files
		if s.Base != 0 && s.Base != d.Base.Version {
			return nil, p.overtakenBefore(ctx, s.Base, d.Base)
		}
	}
	next := &Publication{ID: newID(), Version: version, Author: p.Author, At: time.Now().UTC(), Files: merge(files, s)}
	if problems := p.Rules.Check(next.Files); len(problems) > 0 {
		return nil, &Outcome{Code: result.RefusedByCheck, Problems: problems}
	}
	value, err := json.Marshal(next)
	if err == nil && len(value) > store.MaxValue {
		err = fmt.Errorf("all service files together have %d bytes, the store takes %d", len(value), store.MaxValue)
	}
	if err != nil {
		return nil, &Outcome{Code: result.RefusedByCheck, Problems: []Problem{{Text: err.Error()}}}
	}
	d.Next, d.Ticket, d.value, d.Difference = next, next.Ticket(), value, Compare(files, next.Files)
	return d, nil
}

// Submit tries to put a draft in force. It goes on until the outcome is
// certain or ctx ends. A draft may be submitted again.
func (p *Publisher) Submit(ctx context.Context, d *Draft) *Outcome {
	if o := p.keepBase(ctx, d); o != nil {
		return o
	}
	for {
		_, err := p.Store.Put(ctx, CurrentKey, d.value, d.condition())
		switch {
		case err == nil:
			p.keep(ctx, d)
			return &Outcome{Code: result.Accepted, Ticket: d.Ticket}
		case errors.Is(err, store.ErrConflict) && !d.unsure:
			return p.overtaken(ctx, d)
		case errors.Is(err, store.ErrAmbiguous):
			d.unsure = true
		}
		if d.unsure {
			if o := p.find(ctx, d.Ticket, d.Base); o != nil {
				return o
			}
		}
		if !wait(ctx) {
			return d.undecided(err)
		}
	}
}

// Find tells what became of a submission, also of one whose publisher died.
// While the version in force is older than the ticket's, the submission's
// write may still be on its way, and the answer is result.NotYetKnown; also
// when the ticket's version is no longer kept.
func (p *Publisher) Find(ctx context.Context, t Ticket) *Outcome {
	for {
		if o := p.find(ctx, t, nil); o != nil {
			return o
		}
		if !wait(ctx) {
			return &Outcome{Code: result.NotYetKnown, Ticket: t}
		}
	}
}

// Current returns the publication in force.
func (p *Publisher) Current(ctx context.Context) (*Publication, error) {
	o, err := p.Store.Get(ctx, CurrentKey)
	if err != nil {
		return nil, err
	}
	return Decode(o)
}

// Version returns a publication by version, also one that was replaced.
func (p *Publisher) Version(ctx context.Context, v id.Version) (*Publication, error) {
	current, err := p.Current(ctx)
	if err != nil || current.Version == v {
		return current, err
	}
	o, err := p.Store.Get(ctx, HistoryKey(v))
	if err != nil {
		return nil, err
	}
	return Decode(o)
}

// History returns the publications that are kept, oldest first; the last is
// the one in force.
func (p *Publisher) History(ctx context.Context) ([]*Publication, error) {
	current, err := p.Current(ctx)
	if err != nil {
		return nil, err
	}
	objects, err := p.Store.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, err
	}
	var all []*Publication
	for _, o := range objects {
		old, err := Decode(o)
		if err != nil {
			return nil, err
		}
		if old.Version < current.Version {
			all = append(all, old)
		}
	}
	return append(all, current), nil
}

// readBase reads the version in force and the version that comes after it.
func (p *Publisher) readBase(ctx context.Context, d *Draft, version *id.Version) error {
	o, err := p.Store.Get(ctx, CurrentKey)
	if errors.Is(err, store.ErrNotFound) {
		return p.readHighest(ctx, version)
	}
	if err != nil {
		return err
	}
	base, err := Decode(o)
	if err != nil {
		return err
	}
	d.base, d.Base, *version = o, base, base.Version+1
	return nil
}

// readHighest finds the version after the highest that was ever replaced, in
// case the object in force was removed by hand.
func (p *Publisher) readHighest(ctx context.Context, version *id.Version) error {
	objects, err := p.Store.List(ctx, HistoryPrefix)
	if err != nil || len(objects) == 0 {
		return err
	}
	last, err := Decode(objects[len(objects)-1])
	if err != nil {
		return err
	}
	*version = last.Version + 1
	return nil
}

// keepBase writes the history of the version that is to be replaced.
func (p *Publisher) keepBase(ctx context.Context, d *Draft) *Outcome {
	if d.Base == nil {
		return nil
	}
	for {
		_, err := p.Store.Put(ctx, HistoryKey(d.Base.Version), d.base.Value, store.IfAbsent())
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		if !wait(ctx) {
			return d.undecided(err)
		}
	}
}

// keep writes the history of an accepted draft and prunes the oldest version.
// If it fails, the next publisher writes the history.
func (p *Publisher) keep(ctx context.Context, d *Draft) {
	_, _ = p.Store.Put(ctx, HistoryKey(d.Next.Version), d.value, store.IfAbsent())
	if d.Next.Version > KeptVersions {
		_ = p.Store.Delete(ctx, HistoryKey(d.Next.Version-KeptVersions), store.Condition{})
	}
}

// find returns nil while the store doesn't show who has the ticket's version.
func (p *Publisher) find(ctx context.Context, t Ticket, base *Publication) *Outcome {
	holder, err := p.Current(ctx)
	if err != nil || holder.Version < t.Version {
		return nil
	}
	if holder.Version > t.Version {
		o, err := p.Store.Get(ctx, HistoryKey(t.Version))
		if err != nil {
			return nil
		}
		if holder, err = Decode(o); err != nil {
			return nil
		}
	}
	if holder.ID == t.ID {
		return &Outcome{Code: result.Accepted, Ticket: t}
	}
	return lost(t, base, holder)
}

// overtaken names the winner, as far as the store answers before ctx ends.
func (p *Publisher) overtaken(ctx context.Context, d *Draft) *Outcome {
	for {
		if o := p.find(ctx, d.Ticket, d.Base); o != nil {
			return o
		}
		if !wait(ctx) {
			return &Outcome{Code: result.Overtaken, Ticket: d.Ticket}
		}
	}
}

// overtakenBefore is for a submission that was based on an older version than
// the one in force.
func (p *Publisher) overtakenBefore(ctx context.Context, base id.Version, current *Publication) *Outcome {
	o := &Outcome{Code: result.Overtaken, Ticket: Ticket{Version: base + 1}, Winner: current}
	if old, err := p.Version(ctx, base); err == nil {
		o.Difference = Compare(old.Files, current.Files)
	}
	return o
}

func lost(t Ticket, base, winner *Publication) *Outcome {
	o := &Outcome{Code: result.Overtaken, Ticket: t, Winner: winner}
	if base != nil {
		o.Difference = Compare(base.Files, winner.Files)
	} else if t.Version == 1 {
		o.Difference = Compare(nil, winner.Files)
	}
	return o
}

func (d *Draft) condition() store.Condition {
	if d.Base == nil {
		return store.IfAbsent()
	}
	return store.IfVersion(d.base.Version)
}

// undecided is the outcome when time runs out.
func (d *Draft) undecided(cause error) *Outcome {
	o := &Outcome{Code: result.StoreUnavailable, Ticket: d.Ticket, Cause: cause.Error()}
	if d.unsure {
		o.Code = result.NotYetKnown
	}
	return o
}

func newID() ID {
	var b [idBytes]byte
	_, _ = cryptorand.Read(b[:]) // never fails
	return ID(hex.EncodeToString(b[:]))
}

// wait pauses with jitter; it returns false if ctx ends first.
func wait(ctx context.Context) bool {
	select {
	case <-time.After(pause/2 + rand.N(pause)):
		return true
	case <-ctx.Done():
		return false
	}
}
