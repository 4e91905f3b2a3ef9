package limiter

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/internal/quota/bucket"
	"github.com/shallotpier/shallotpier/internal/quota/holder"
	"github.com/shallotpier/shallotpier/internal/quota/message"
)

// collectFor is how long a question that no request waits for is delayed, to be sent with
// those of other organisations.
const collectFor = 5 * time.Millisecond

type (
	// outbox collects questions by accountable entry.
	outbox struct {
		mu      sync.Mutex
		batches map[netip.AddrPort][]item
	}

	// item is the question for one organisation.
	item struct {
		organisation *organisation
		ask          holder.Ask
	}
)

// Handle answers a question of another entry.
func (l *Limiter) Handle(from netip.AddrPort, question []byte) []byte {
	wants, err := message.DecodeQuestion(question)
	if err != nil {
		l.Log.Warn("question for tokens dropped", "from", from, "err", err)
		return nil
	}
	t, now := l.table.Load(), l.Clock()
	address, _ := from.MarshalBinary()
	asker := xxhash.Sum64(address)
	answers := make([]bucket.Answer, len(wants))
	for i, want := range wants {
		if t == nil {
			continue
		}
		o := t.byKey[want.Organisation]
		if o == nil {
			continue
		}
		o.mu.Lock()
		if o.grants {
			answers[i] = o.account.Ask(now, asker, want.Tokens)
			o.counts.lent += uint64(answers[i].Granted)
		}
		o.mu.Unlock()
	}
	data, err := message.EncodeAnswers(answers)
	if err != nil {
		l.Log.Error("answer for tokens not encoded", "err", err)
		return nil
	}
	return data
}

// add sends urgent questions at once, together with others for the same entry, and the rest
// after collectFor.
func (b *outbox) add(l *Limiter, o *organisation, asks []holder.Ask) {
	for _, ask := range asks {
		b.mu.Lock()
		if b.batches == nil {
			b.batches = make(map[netip.AddrPort][]item)
		}
		batch := append(b.batches[ask.Entry], item{o, ask})
		b.batches[ask.Entry] = batch
		b.mu.Unlock()
		switch {
		case ask.Urgent || len(batch) >= message.MaxWants:
			go l.flush(ask.Entry)
		case len(batch) == 1:
			time.AfterFunc(collectFor, func() { l.flush(ask.Entry) })
		}
	}
}

// flush sends the collected questions for an entry.
func (l *Limiter) flush(entry netip.AddrPort) {
	b := &l.outbox
	b.mu.Lock()
	batch := b.batches[entry]
	delete(b.batches, entry)
	b.mu.Unlock()
	for len(batch) > message.MaxWants {
		go l.exchange(entry, batch[:message.MaxWants])
		batch = batch[message.MaxWants:]
	}
	if len(batch) > 0 {
		l.exchange(entry, batch)
	}
}

// exchange sends a question and applies its answer.
func (l *Limiter) exchange(entry netip.AddrPort, batch []item) {
	late := time.AfterFunc(holder.Overdue, func() { l.late(batch) })
	defer late.Stop()
	answers, err := l.question(entry, batch)
	if err != nil {
		l.Metrics.GetOrCreateCounter(`shallotpier_quota_questions_total{answered="no"}`).Inc()
		l.late(batch)
		return
	}
	l.Metrics.GetOrCreateCounter(`shallotpier_quota_questions_total{answered="yes"}`).Inc()
	now := l.Clock()
	for i, it := range batch {
		o := it.organisation
		o.mu.Lock()
		settled := o.holder.Answer(now, it.ask, answers[i])
		asks, n := o.asks(now)
		o.mu.Unlock()
		finish(settled)
		l.outbox.add(l, o, asks[:n])
	}
}

func (l *Limiter) question(entry netip.AddrPort, batch []item) ([]bucket.Answer, error) {
	wants := make([]message.Want, len(batch))
	for i, it := range batch {
		wants[i] = message.Want{Organisation: it.organisation.key, Tokens: it.ask.Want}
	}
	data, err := message.EncodeQuestion(wants)
	if err != nil {
		return nil, err
	}
	to := l.liveEntries()[entry].Address
	ctx, cancel := context.WithTimeout(context.Background(), holder.MaxWait)
	defer cancel()
	answer, err := l.Send(ctx, to, data)
	if err != nil {
		return nil, err
	}
	return message.DecodeAnswers(answer, len(batch))
}

// late records that the questions of a batch have no answer.
func (l *Limiter) late(batch []item) {
	now := l.Clock()
	for _, it := range batch {
		o := it.organisation
		o.mu.Lock()
		settled := o.holder.Late(now, it.ask)
		asks, n := o.asks(now)
		o.mu.Unlock()
		finish(settled)
		l.outbox.add(l, o, asks[:n])
	}
}
