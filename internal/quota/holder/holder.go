package holder

import (
	"net/netip"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/internal/quota/bucket"
)

const (
	// MaxWait is the longest time that a request waits for a token.
	MaxWait = 150 * time.Millisecond
	// Overdue is how long after a question another accountable entry is asked: some round
	// trips between regions, and half of MaxWait.
	Overdue = 75 * time.Millisecond

	// maxTries is for how many accountable entries that don't answer a request waits.
	maxTries = 2
	// stockShare is the part of the time for which demand has lasted that a stock lasts, so
	// that demand that moves between entries loses no larger part of its tokens.
	stockShare = 1.0 / 40
	// termShare is the part of the term for which a stock lasts at most.
	termShare = 1.0 / 3
	// richLevel is the level from which a bucket is rich, as a fraction: tokens of it that
	// expire are no loss.
	richLevel = 0.75
	// richStock is the least time for which a stock lasts while the bucket is rich, two round
	// trips between regions.
	richStock = 50 * time.Millisecond
	// singleToken is how many requests must be expected within a term for a stock of a
	// single token, and richToken while the bucket is rich: at four, one in 50 expires
	// unspent, at two one in seven.
	singleToken = 4
	richToken   = 2
	// lostFor is how long an accountable entry is avoided after an answer was lost, doubled
	// with each further one up to maxLostFor.
	lostFor    = 100 * time.Millisecond
	maxLostFor = time.Second
	// refusedFor is how long one is avoided that can't answer for the organisation.
	refusedFor = 200 * time.Millisecond
	// maxRetry is the longest time that refused callers are told to wait.
	maxRetry = 2 * time.Second
	// maxLots is the number of lots of tokens with different expiries.
	maxLots = 8
	// maxWant is the greatest number of tokens of a question.
	maxWant = 1 << 20
)

type (
	// Part is an entry that is accountable for a part of the limit, as seen by this one.
	Part struct {
		// Entry is its address for other entries.
		Entry netip.AddrPort
		// Parts is the number of its parts of the limit.
		Parts int
		// Alive is set if it can be asked.
		Alive bool
		// Own is the account if it is this entry, otherwise nil.
		Own *bucket.Account

		// seq numbers the question in flight, 0 if there is none.
		seq      uint64
		want     int
		expected int // tokens of want that it is thought to have
		lost     int // questions in a row without answer
		avoid    boottime.Instant
		empty    boottime.Instant // until when
		left     float64          // according to the last answer
		leftAt   boottime.Instant
		answered bool
	}

	// Ask is a question for tokens.
	Ask struct {
		// Entry is the accountable entry.
		Entry netip.AddrPort
		// Want is the number of tokens.
		Want int
		// Sent is the time of the question.
		Sent boottime.Instant
		// Urgent is set if requests wait for the answer.
		Urgent bool

		seq uint64
	}

	// Waiter is a request that waits for a token.
	Waiter struct {
		// Verdict is the decision, once the holder has returned the waiter.
		Verdict quota.Verdict
		// Done is for the use of the caller.
		Done chan struct{}

		until boottime.Instant
		tries int
		empty bool // an accountable entry has said that it is empty
	}

	// Holder holds the tokens of an organisation at an entry. It is not safe for concurrent
	// use.
	Holder struct {
		// Asker is the hash that identifies the entry at its own account.
		Asker uint64

		params  quota.Parameters
		parts   [quota.Parts]Part
		count   int // of parts in use
		lots    [maxLots]lot
		held    int // lots
		demand  demand
		waiters []*Waiter
		seq     uint64
		short   bool // the last answer gave less than was asked for
		granted demand
		slot    boottime.Instant // when the caller that was refused last is to come back
	}

	// lot is a number of tokens with the same expiry.
	lot struct {
		tokens  int
		expires boottime.Instant
	}
)

// SetParameters applies the parameters of the organisation's limit.
func (h *Holder) SetParameters(p quota.Parameters) { h.params = p }

// SetParts applies the accountable entries, nearest first. What is known of those that were
// accountable before is kept.
func (h *Holder) SetParts(parts []Part) {
	old, count := h.parts, h.count
	h.parts, h.count = [quota.Parts]Part{}, min(len(parts), quota.Parts)
	for i, p := range parts[:h.count] {
		for j := range old[:count] {
			if old[j].Entry == p.Entry {
				alive, own, n := p.Alive, p.Own, p.Parts
				p = old[j]
				if alive && !p.Alive {
					p.avoid, p.lost = 0, 0
				}
				p.Alive, p.Own, p.Parts = alive, own, n
			}
		}
		h.parts[i] = p
	}
}

// Take decides on a request. If the outcome is pending, the request is to wait.
func (h *Holder) Take(now boottime.Instant) quota.Verdict {
	h.demand.count(now)
	if len(h.waiters) == 0 {
		if v, ok := h.spend(now); ok {
			h.granted.count(now)
			return v
		}
	}
	// While the buckets are empty, a question in flight brings tokens for few.
	if h.candidate(now, 1) == nil && (!h.asking() || h.short && h.expected() <= len(h.waiters)) {
		return h.refusal(now, h.short)
	}
	return quota.Verdict{Outcome: quota.Pending}
}

// Wait lets a request wait.
func (h *Holder) Wait(now boottime.Instant, w *Waiter) {
	w.until = now.Add(MaxWait)
	h.waiters = append(h.waiters, w)
}

// Cancel removes a request that waits, and reports whether it hadn't been decided.
func (h *Holder) Cancel(w *Waiter) bool {
	i := slices.Index(h.waiters, w)
	if i < 0 {
		return false
	}
	h.waiters = slices.Delete(h.waiters, i, i+1)
	return true
}

// Return takes back the token of a request that has not run.
func (h *Holder) Return(now, expires boottime.Instant) []*Waiter {
	h.add(now, 1, expires)
	return h.settle(now)
}

// Ask returns the next question to send, if any.
func (h *Holder) Ask(now boottime.Instant) (Ask, bool) {
	tokens, pending, stock := h.tokens(now), h.pending(), h.stock(now)
	want, urgent := 0, false
	switch waiting := len(h.waiters); {
	case waiting > pending+tokens:
		want, urgent = waiting-pending-tokens+stock, true
	case pending == 0 && tokens < (stock+1)/2 && !h.ownReady(now):
		want = stock - tokens
	}
	if want <= 0 {
		return Ask{}, false
	}
	p := h.candidate(now, want)
	if p == nil || p.Own != nil {
		return Ask{}, false
	}
	h.seq++
	p.seq, p.want = h.seq, min(want, maxWant)
	p.expected = min(p.want, int(h.estimate(now, p))+1)
	return Ask{Entry: p.Entry, Want: p.want, Sent: now, Urgent: urgent, seq: h.seq}, true
}

// Answer applies the answer to a question, late or not, and returns the requests that are
// decided.
func (h *Holder) Answer(now boottime.Instant, ask Ask, ans bucket.Answer) []*Waiter {
	p := h.part(ask.Entry)
	if p != nil && p.seq == ask.seq {
		p.seq, p.want, p.expected = 0, 0, 0
	}
	if ans.TermMillis <= 0 {
		if p != nil {
			p.avoid = now.Add(refusedFor)
		}
		return h.fail(now, false)
	}
	h.add(now, min(max(ans.Granted, 0), ask.Want), ask.Sent.Add(time.Duration(ans.TermMillis)*time.Millisecond))
	if p != nil {
		p.lost, p.avoid, p.answered = 0, 0, true
		p.left, p.leftAt = float64(max(ans.Left, 0)), now
	}
	if h.short = ans.Granted < ask.Want; !h.short {
		return h.settle(now)
	}
	if p != nil {
		p.empty = now.Add(time.Duration(ans.WaitMillis) * time.Millisecond)
	}
	return h.fail(now, true)
}

// Late records that a question has no answer after [Overdue], and returns the requests that are
// decided.
func (h *Holder) Late(now boottime.Instant, ask Ask) []*Waiter {
	p := h.part(ask.Entry)
	if p == nil || p.seq != ask.seq {
		return h.settle(now)
	}
	p.seq, p.want, p.expected = 0, 0, 0
	p.avoid = now.Add(min(lostFor<<min(p.lost, 4), maxLostFor))
	p.lost++
	return h.fail(now, false)
}

// Expire returns the requests that have waited for too long.
func (h *Holder) Expire(now boottime.Instant) []*Waiter { return h.settle(now) }

// Demand returns the estimated rate of requests, and Tokens the number of tokens held.
func (h *Holder) Demand(now boottime.Instant) (rate float64, tokens int) {
	if now.Sub(h.demand.at) > idleAfter {
		return 0, h.tokens(now)
	}
	return h.demand.slow, h.tokens(now)
}

// spend takes a token of the stock, or of this entry's own account.
func (h *Holder) spend(now boottime.Instant) (quota.Verdict, bool) {
	h.expire(now)
	first := -1
	for i := range h.lots[:h.held] {
		if first < 0 || h.lots[i].expires < h.lots[first].expires {
			first = i
		}
	}
	if first >= 0 {
		l := &h.lots[first]
		v := quota.Verdict{Grant: quota.Grant{Expires: l.expires}}
		if l.tokens--; l.tokens == 0 {
			h.remove(first)
		}
		return v, true
	}
	p := h.own()
	if p == nil || p.empty > now {
		return quota.Verdict{}, false
	}
	ans := p.Own.Ask(now, h.Asker, 1)
	if ans.Granted == 0 {
		p.empty = now.Add(time.Duration(ans.WaitMillis) * time.Millisecond)
		return quota.Verdict{}, false
	}
	return quota.Verdict{Grant: quota.Grant{Expires: now.Add(p.Own.Term())}}, true
}

// fail counts an answer that was missing, or too few tokens, for the requests that still wait
// after those that are decided.
func (h *Holder) fail(now boottime.Instant, empty bool) []*Waiter {
	settled := h.settle(now)
	for _, w := range h.waiters {
		if empty {
			w.empty = true
		} else {
			w.tries++
		}
	}
	return append(settled, h.settle(now)...)
}

// settle removes the requests that are decided, and returns them.
func (h *Holder) settle(now boottime.Instant) []*Waiter {
	var settled []*Waiter
	kept := h.waiters[:0]
	for _, w := range h.waiters {
		v, ok := h.spend(now)
		switch {
		case ok:
			h.granted.count(now)
			w.Verdict = v
		case now >= w.until || w.tries >= maxTries || h.candidate(now, 1) == nil && !h.asking():
			w.Verdict = h.refusal(now, w.empty)
		default:
			kept = append(kept, w)
			continue
		}
		settled = append(settled, w)
	}
	clear(h.waiters[len(kept):])
	h.waiters = kept
	return settled
}

// refusal returns the verdict on a request that gets no token.
func (h *Holder) refusal(now boottime.Instant, empty bool) quota.Verdict {
	var next boottime.Instant
	for i := range h.parts[:h.count] {
		if p := &h.parts[i]; p.empty > now {
			empty = true
			if next == 0 || p.empty < next {
				next = p.empty
			}
		}
	}
	if !empty {
		return quota.Verdict{Outcome: quota.Unavailable, RetryAfter: refusedFor}
	}
	return quota.Verdict{Outcome: quota.Exceeded, RetryAfter: h.retryAfter(now, max(next, now))}
}

// retryAfter returns when a refused caller is to come back: when an accountable entry may have
// a token, and after the callers that were refused before, each of which takes the time
// between two tokens at this entry. If that is too long, they begin again.
func (h *Holder) retryAfter(now, next boottime.Instant) time.Duration {
	step := maxRetry
	if now.Sub(h.granted.at) < idleAfter {
		step = min(time.Duration(float64(time.Second)/h.granted.slow), maxRetry)
	}
	if h.slot = max(h.slot+boottime.Instant(step), next); h.slot.Sub(now) > maxRetry {
		h.slot = next
	}
	return max(h.slot.Sub(now), time.Millisecond)
}

// candidate returns the accountable entry to ask for a number of tokens, nil if there is
// none: the nearest that is thought to have them, or else the one thought to have most. One
// with a question in flight isn't asked again.
func (h *Holder) candidate(now boottime.Instant, want int) *Part {
	var best *Part
	most := -1.0
	for i := range h.parts[:h.count] {
		p := &h.parts[i]
		if !p.Alive && p.Own == nil || p.seq != 0 || p.empty > now || p.avoid > now {
			continue
		}
		if p.Own != nil {
			if p.Own.Next(now) == 0 {
				return p
			}
			continue
		}
		left := h.estimate(now, p)
		if left >= float64(want) {
			return p
		}
		if left > most {
			best, most = p, left
		}
	}
	return best
}

// estimate returns the number of tokens that an accountable entry is thought to have.
func (h *Holder) estimate(now boottime.Instant, p *Part) float64 {
	if !p.answered {
		return h.full(p)
	}
	rate := float64(h.params.Rate) * float64(p.Parts) / quota.Parts
	return min(p.left+now.Sub(p.leftAt).Seconds()*rate, h.full(p))
}

// full returns the number of tokens that the bucket of an accountable entry holds.
func (h *Holder) full(p *Part) float64 {
	return h.params.Burst * float64(p.Parts) / quota.Parts
}

// stock returns the number of tokens to hold for requests to come.
func (h *Holder) stock(now boottime.Instant) int {
	lasted := h.demand.lasted(now)
	lasts, single := time.Duration(float64(lasted)*stockShare), float64(singleToken)
	rich := h.rich(now)
	if rich {
		lasts, single = max(lasts, richStock), richToken
	}
	lasts = min(lasts, time.Duration(float64(h.params.Term)*termShare))
	rate := min(h.demand.rate(), float64(h.params.Rate))
	if n := int(rate * lasts.Seconds()); n > 0 {
		return n
	}
	if h.demand.slow*h.params.Term.Seconds() >= single && (rich || h.demand.slow*lasted.Seconds()*stockShare >= 1) {
		return 1
	}
	return 0
}

// rich reports whether the accountable entry to be asked has a rich bucket, according to its
// answers.
func (h *Holder) rich(now boottime.Instant) bool {
	p := h.candidate(now, 1)
	if p == nil || !p.answered || h.short {
		return false
	}
	return h.estimate(now, p) >= richLevel*h.full(p)
}

func (h *Holder) tokens(now boottime.Instant) int {
	h.expire(now)
	n := 0
	for i := range h.lots[:h.held] {
		n += h.lots[i].tokens
	}
	return n
}

func (h *Holder) pending() int {
	n := 0
	for i := range h.parts[:h.count] {
		n += h.parts[i].want
	}
	return n
}

func (h *Holder) expected() int {
	n := 0
	for i := range h.parts[:h.count] {
		n += h.parts[i].expected
	}
	return n
}

func (h *Holder) asking() bool { return h.pending() > 0 }

func (h *Holder) own() *Part {
	for i := range h.parts[:h.count] {
		if h.parts[i].Own != nil {
			return &h.parts[i]
		}
	}
	return nil
}

func (h *Holder) ownReady(now boottime.Instant) bool {
	p := h.own()
	return p != nil && p.empty <= now && p.Own.Next(now) == 0
}

func (h *Holder) part(entry netip.AddrPort) *Part {
	for i := range h.parts[:h.count] {
		if h.parts[i].Entry == entry {
			return &h.parts[i]
		}
	}
	return nil
}

// add adds tokens. If there are too many lots, they get the earlier expiry of another one.
func (h *Holder) add(now boottime.Instant, tokens int, expires boottime.Instant) {
	if tokens <= 0 || expires <= now {
		return
	}
	h.expire(now)
	for i := range h.lots[:h.held] {
		if h.lots[i].expires == expires {
			h.lots[i].tokens += tokens
			return
		}
	}
	if h.held < maxLots {
		h.lots[h.held] = lot{tokens: tokens, expires: expires}
		h.held++
		return
	}
	nearest := 0
	for i := range h.lots {
		if h.lots[i].expires.Sub(expires).Abs() < h.lots[nearest].expires.Sub(expires).Abs() {
			nearest = i
		}
	}
	h.lots[nearest].tokens += tokens
	h.lots[nearest].expires = min(h.lots[nearest].expires, expires)
}

// expire removes the tokens that may not be spent any more.
func (h *Holder) expire(now boottime.Instant) {
	for i := 0; i < h.held; {
		if h.lots[i].expires > now {
			i++
			continue
		}
		h.remove(i)
		h.demand.fell(now)
	}
}

func (h *Holder) remove(i int) {
	h.held--
	h.lots[i] = h.lots[h.held]
}
