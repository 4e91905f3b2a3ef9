package freshness

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// settleTime is how long after the start of Run a missing proof isn't logged as lost.
const settleTime = 2 * time.Second

type (
	// Loop renews an entry's proof. Its exported fields must be set before Run; Fetch and
	// Read may be nil. Without a bound it makes no calls.
	Loop struct {
		// Tracker holds the proof.
		Tracker *Tracker
		// Schedule decides on the calls.
		Schedule Schedule
		// Clock is the clock of all proofs.
		Clock boottime.Clock
		// Others returns the other live entries, sorted by name.
		Others func() []Peer
		// Version returns the version of the configuration in force, 0 if there is none.
		Version func() id.Version
		// Ask asks another entry.
		Ask func(ctx context.Context, to netip.AddrPort, question []byte) ([]byte, error)
		// Read reads the configuration from the store, applies it if it is newer, and
		// records the proof.
		Read func(ctx context.Context) error
		// Fetch takes over the configuration of another entry if it is newer. It records
		// no proof.
		Fetch func(ctx context.Context, from id.Instance) error
		// OnChange, unless nil, is called after freshness was lost or regained.
		OnChange func()
		// Log receives a line when freshness is lost or regained.
		Log *slog.Logger
		// Metrics receives counters and gauges.
		Metrics *metrics.Set

		wake   atomic.Pointer[chan struct{}]
		hint   atomic.Pointer[id.Instance] // an entry that has a later proof
		fresh  bool                        // at the latest observation
		since  boottime.Instant            // of fresh
		failed string                      // the latest failure of a read or a question
	}

	// ended is the end of a call.
	ended struct {
		record func(now boottime.Instant, in *Situation)
		err    error
	}
)

// Run renews the proof until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	wake, calls := make(chan struct{}, 1), make(chan ended)
	l.wake.Store(&wake)
	l.since = l.Clock()
	start := func(call func() ended) {
		go func() {
			select {
			case calls <- call():
			case <-ctx.Done():
			}
		}()
	}
	registered := false
	for {
		now := l.Clock()
		if !registered && l.Tracker.Bound() > 0 {
			l.registerMetrics()
			registered = true
		}
		l.observe(now)
		step := l.Schedule.Next(now, l.situation(now))
		l.begin(ctx, &step, start)
		select {
		case <-ctx.Done():
			return
		case <-wake:
			if claim, lacking := l.Tracker.Lacking(l.Version()); lacking {
				l.Schedule.Superseded(claim.Version)
			}
			if from := l.hint.Swap(nil); from != nil {
				l.Schedule.Hint(l.Clock(), *from)
			}
		case e := <-calls:
			if e.err != nil {
				l.failed = e.err.Error()
			}
			now := l.Clock()
			e.record(now, l.situation(now))
		case <-time.After(step.Wait):
		}
	}
}

// Answer answers a question of another entry. It is a datagram.Handler.
func (l *Loop) Answer(_ netip.AddrPort, question []byte) []byte {
	now := l.Clock()
	var q Question
	if err := decode(question, &q); err != nil {
		l.Log.Warn("question about freshness dropped", "err", err)
		return nil
	}
	a := AnswerOf(l.Schedule.Self, l.Tracker, now, l.Version)
	if l.Tracker.Hear(Claim{Version: q.Version, From: q.From, At: now}, a.Version) {
		l.superseded(q.Version, a.Version, q.From)
	}
	if q.AskBack(a.Proved, a.Age, l.Tracker.Bound()) {
		l.hint.Store(&q.From)
		l.wakeUp()
	}
	data, err := encode(a)
	if err != nil {
		return nil
	}
	return data
}

// Confirmed records an answer of the store after its contents have been applied.
func (l *Loop) Confirmed(p Proof) {
	verdict := l.Tracker.Prove(p.Moment, p.Era, p.Version, p.Source)
	l.count(p.Source, verdict)
	if verdict != Contradicted {
		return
	}
	claim, _ := l.Tracker.Lacking(p.Version)
	l.Log.Error("store lacks a configuration that another entry has", "version", p.Version, "claimed", claim.Version,
		"instance", claim.From, "era", p.Era, "source", p.Source)
}

// begin starts the calls of a step.
func (l *Loop) begin(ctx context.Context, step *Step, start func(func() ended)) {
	if step.Read {
		start(func() ended { return l.read(ctx) })
	}
	if step.Ask.Instance != "" {
		start(func() ended { return l.ask(ctx, step.Ask) })
	}
	if step.Fetch != "" {
		start(func() ended { return l.fetch(ctx, step.Fetch) })
	}
}

func (l *Loop) read(ctx context.Context) ended {
	started, err := l.Clock(), eris.New("the store isn't read")
	if l.Read != nil {
		err = l.Read(ctx)
	}
	p, held := l.Tracker.Proof()
	proved := err == nil && held && started <= p.Moment
	l.countCall("reads", err == nil)
	return ended{func(now boottime.Instant, in *Situation) { l.Schedule.ReadEnded(now, in, proved) }, err}
}

func (l *Loop) ask(ctx context.Context, to Peer) ended {
	answer, err := l.question(ctx, to)
	l.countCall("questions", err == nil)
	if err == nil {
		l.apply(answer)
	}
	return ended{func(now boottime.Instant, in *Situation) { l.Schedule.AskEnded(now, in, err == nil) }, err}
}

// reply is an answer with the time of its question.
type reply struct {
	Answer
	asked boottime.Instant
}

// question asks another entry. The time is taken before the question leaves.
func (l *Loop) question(ctx context.Context, to Peer) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, AskTimeout)
	defer cancel()
	data, err := encode(QuestionOf(l.Schedule.Self, l.Tracker, l.Clock(), l.Version()))
	if err != nil {
		return nil, err
	}
	r := &reply{asked: l.Clock()}
	answer, err := l.Ask(ctx, to.Address, data)
	if err != nil {
		return nil, err
	}
	return r, decode(answer, &r.Answer)
}

// apply applies the answer of another entry.
func (l *Loop) apply(r *reply) {
	own := l.Version()
	verdict := l.Tracker.ProveByPeer(r.asked, l.Clock(), &r.Answer, own)
	l.count(Entry, verdict)
	if verdict == Superseded {
		l.superseded(r.Version, own, r.From)
	}
}

func (l *Loop) fetch(ctx context.Context, from id.Instance) ended {
	err := eris.New("configurations aren't fetched")
	if l.Fetch != nil {
		err = l.Fetch(ctx, from)
	}
	if err != nil {
		l.Log.Warn("configuration of another entry not taken over", "instance", from, "err", err)
	}
	return ended{l.Schedule.FetchEnded, err}
}

// superseded makes Run read the configuration.
func (l *Loop) superseded(version, own id.Version, from id.Instance) {
	l.Log.Info("another entry has a newer configuration", "instance", from, "version", version, "own", own)
	l.wakeUp()
}

// wakeUp makes Run decide again.
func (l *Loop) wakeUp() {
	if wake := l.wake.Load(); wake != nil {
		select {
		case *wake <- struct{}{}:
		default:
		}
	}
}

func (l *Loop) situation(now boottime.Instant) *Situation {
	in := &Situation{Bound: l.Tracker.Bound(), Draw: rand.Float64()}
	if in.Bound <= 0 {
		return in
	}
	p, held := l.Tracker.Proof()
	in.Age, in.Proved, in.Origin = now.Sub(p.Moment), held, p.Origin
	in.Others = l.Others()
	if claim, lacking := l.Tracker.Lacking(l.Version()); lacking {
		in.Lacking = claim.From
	}
	return in
}

// observe logs and counts the loss and the return of freshness.
func (l *Loop) observe(now boottime.Instant) {
	bound := l.Tracker.Bound()
	fresh := l.Tracker.Fresh(now)
	if fresh == l.fresh || bound <= 0 || !fresh && now.Sub(l.since) < settleTime {
		return
	}
	lasted := now.Sub(l.since)
	l.fresh, l.since = fresh, now
	if l.OnChange != nil {
		defer l.OnChange()
	}
	p, held := l.Tracker.Proof()
	if fresh {
		l.Log.Info("configuration confirmed again", "version", p.Version, "age", now.Sub(p.Moment), "source", p.Source, "instance", p.From, "after", lasted)
		return
	}
	l.Metrics.GetOrCreateCounter(`shallotpier_configuration_unconfirmed_total`).Inc()
	if !held {
		l.Log.Warn("configuration not confirmed, keys are refused", "version", l.Version(), "bound", bound, "err", l.failed)
		return
	}
	l.Log.Warn("configuration not confirmed, keys are refused", "version", l.Version(), "age", now.Sub(p.Moment), "bound", bound,
		"source", p.Source, "instance", p.From, "after", lasted, "err", l.failed)
}
