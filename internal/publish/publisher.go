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
	retryInterval = 200 * time.Millisecond
	idBytes       = 16
)

type (
	// Publisher submits service files. It is safe for concurrent use.
	Publisher struct {
		// Store is the platform's store.
		Store store.Store
		// Author names the operator who publishes.
		Author string
		// Rules validate submissions.
		Rules Rules
	}

	// Submission is an operator's change of the service files.
	Submission struct {
		// Files replace those of the same service.
		Files []service.File
		// Remove lists services to be removed.
		Remove []id.Service
		// Base is the version that the operator edited; 0 means the version
		// that is active when the submission is prepared.
		Base id.Version
	}

	// Draft is a prepared submission. Preparing writes nothing to the store.
	Draft struct {
		// Ticket identifies the submission.
		Ticket Ticket
		// Next is the publication to be written.
		Next *Publication
		// Base is the publication to be replaced; nil if there is none.
		Base *Publication
		// Difference holds the changes from Base to Next.
		Difference Difference

		base      store.Object
		value     []byte
		ambiguous bool // a write may have taken effect
	}
)

// Prepare validates a submission against the active version. It writes nothing
// and returns either a draft or the outcome that prevents it. It retries reads
// from the store until ctx ends.
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
			return nil, p.staleBase(ctx, s.Base, d.Base)
		}
	}
	next := &Publication{ID: newID(), Version: version, Author: p.Author, At: time.Now().UTC(), Files: merge(files, s)}
	if problems := p.Rules.Check(next.Files); len(problems) > 0 {
		return nil, &Outcome{Code: result.RefusedByCheck, Problems: problems}
	}
	value, err := json.Marshal(next)
	if err == nil && len(value) > store.MaxValue {
		err = fmt.Errorf("all service files together have %d bytes; the store accepts at most %d", len(value), store.MaxValue)
	}
	if err != nil {
		return nil, &Outcome{Code: result.RefusedByCheck, Problems: []Problem{{Text: err.Error()}}}
	}
	d.Next, d.Ticket, d.value, d.Difference = next, next.Ticket(), value, Compare(files, next.Files)
	return d, nil
}

// Submit tries to make a draft the active version. It retries until the outcome
// is certain or ctx ends. A draft may be submitted again.
func (p *Publisher) Submit(ctx context.Context, d *Draft) *Outcome {
	if o := p.archiveBase(ctx, d); o != nil {
		return o
	}
	for {
		_, err := p.Store.Put(ctx, CurrentKey, d.value, d.condition())
		switch {
		case err == nil:
			p.archive(ctx, d)
			return &Outcome{Code: result.Accepted, Ticket: d.Ticket}
		case errors.Is(err, store.ErrConflict) && !d.ambiguous:
			return p.overtaken(ctx, d)
		case errors.Is(err, store.ErrAmbiguous):
			d.ambiguous = true
		}
		if d.ambiguous {
			if o := p.find(ctx, d.Ticket, d.Base); o != nil {
				return o
			}
		}
		if !wait(ctx) {
			return d.undecided(err)
		}
	}
}

// Find returns the outcome of a submission, even if its publisher has crashed.
// It polls the store until the outcome is certain. If ctx ends first, the
// outcome is result.NotYetKnown: the active version is older than the ticket's,
// so that the write may still be in flight, or the ticket's version is no
// longer kept, or the store is unavailable.
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

// Current returns the active publication.
func (p *Publisher) Current(ctx context.Context) (*Publication, error) {
	o, err := p.Store.Get(ctx, CurrentKey)
	if err != nil {
		return nil, err
	}
	return Decode(o)
}

// Version returns the active publication or a replaced one by its version.
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

// History returns the publications that are kept, oldest first; the last is the
// active one.
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

// readBase reads the active publication into d and sets version to the next
// one.
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

// readHighest sets version to the one after the highest in the history. It is
// used when there is no active publication, possibly because an operator has
// removed the object.
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

// archiveBase writes the history entry of the version to be replaced.
func (p *Publisher) archiveBase(ctx context.Context, d *Draft) *Outcome {
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

// archive writes the history entry of an accepted draft and prunes the oldest
// version. If it fails, the next publisher writes the entry in archiveBase.
func (p *Publisher) archive(ctx context.Context, d *Draft) {
	_, _ = p.Store.Put(ctx, HistoryKey(d.Next.Version), d.value, store.IfAbsent())
	if d.Next.Version > KeptVersions {
		_ = p.Store.Delete(ctx, HistoryKey(d.Next.Version-KeptVersions), store.Condition{})
	}
}

// find returns the outcome of the ticket's submission, or nil while the store
// doesn't show which publication has the ticket's version.
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
	return overtakenBy(t, base, holder)
}

// overtaken returns the outcome of an overtaken draft, with the winner if the
// store answers before ctx ends.
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

// staleBase returns the outcome of a submission that is based on a version
// other than the active one.
func (p *Publisher) staleBase(ctx context.Context, base id.Version, current *Publication) *Outcome {
	o := &Outcome{Code: result.Overtaken, Ticket: Ticket{Version: base + 1}, Winner: current}
	if old, err := p.Version(ctx, base); err == nil {
		o.Difference = Compare(old.Files, current.Files)
	}
	return o
}

func overtakenBy(t Ticket, base, winner *Publication) *Outcome {
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

// undecided returns the outcome when ctx ends before the store has confirmed
// one.
func (d *Draft) undecided(cause error) *Outcome {
	o := &Outcome{Code: result.StoreUnavailable, Ticket: d.Ticket, Cause: cause.Error()}
	if d.ambiguous {
		o.Code = result.NotYetKnown
	}
	return o
}

func newID() ID {
	var b [idBytes]byte
	_, _ = cryptorand.Read(b[:]) // never fails
	return ID(hex.EncodeToString(b[:]))
}

// wait waits for the retry interval with jitter; it returns false if ctx ends
// first.
func wait(ctx context.Context) bool {
	select {
	case <-time.After(retryInterval/2 + rand.N(retryInterval)):
		return true
	case <-ctx.Done():
		return false
	}
}
