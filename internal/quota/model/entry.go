package model

import (
	"net/netip"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/internal/quota/authority"
	"github.com/shallotpier/shallotpier/internal/quota/bucket"
	"github.com/shallotpier/shallotpier/internal/quota/holder"
	"github.com/shallotpier/shallotpier/internal/quota/message"
	"github.com/shallotpier/shallotpier/internal/quota/rank"
)

const (
	// collectFor is how long questions that no request waits for are collected.
	collectFor = 5 * time.Millisecond
	// envelope is the number of bytes of a datagram beside its payload: the headers of IP
	// and UDP, and those of internal/datagram.
	envelope = 28 + 18
)

type (
	entry struct {
		w             *World
		index         int
		addr          netip.AddrPort
		seed          uint64
		zone, region  int
		offset        boottime.Instant
		up            bool
		left          bool          // it shuts down, or has
		life          int           // counts processes
		paused        time.Duration // until when
		cut           time.Duration // until when it is cut off from all others
		split         time.Duration // until when its region is
		since         time.Duration // of its registration
		rule          authority.Rule
		granting      bool
		known         []*entry
		dirty         bool            // known or limits have changed
		heard         []time.Duration // when each entry was heard last, by index
		organisations []state
		outbox        map[*entry][]item
	}

	state struct {
		limit   quota.Organisation
		params  quota.Parameters
		holder  holder.Holder
		account *bucket.Account
		parts   int
		first   [quota.Parts]int
		waiting map[*holder.Waiter]time.Duration
	}

	item struct {
		organisation int
		ask          holder.Ask
	}
)

func (e *entry) clock() boottime.Instant { return boottime.Instant(e.w.now) + e.offset }

// run runs f in a process of the entry, after the end of a pause.
func (e *entry) run(life int, f func()) {
	switch {
	case !e.up || e.life != life:
	case e.paused > e.w.now:
		e.w.At(e.paused, func() { e.run(life, f) })
	default:
		f()
	}
}

func (e *entry) tick(life int) {
	e.run(life, func() {
		e.update()
		e.w.At(e.w.now+viewInterval, func() { e.tick(life) })
	})
}

func (e *entry) reaches(other *entry) bool {
	now := e.w.now
	if e.cut > now || other.cut > now {
		return false
	}
	return e.region == other.region || e.split <= now && other.split <= now
}

func (e *entry) limit(organisation int, limit *quota.Organisation) {
	s := &e.organisations[organisation]
	s.limit, s.params = *limit, e.w.config.Bounds.Parameters(limit)
	s.holder.SetParameters(s.params)
	if s.account != nil {
		s.account.Set(e.clock(), s.params, s.parts)
	}
}

// update applies what the entry knows of the others.
func (e *entry) update() {
	changed := e.dirty
	for len(e.heard) < len(e.w.entries) {
		e.heard = append(e.heard, -heartbeatTimeout)
	}
	granting := e.rule.MayGrant(e.clock(), authority.State{Listed: true, Entries: len(e.known), Left: e.left})
	moved := changed || granting != e.granting
	if granting && !e.granting {
		for i := range e.organisations {
			e.organisations[i].account = nil
		}
	}
	e.granting, e.dirty = granting, false
	now := e.w.now
	for _, other := range e.known {
		at := e.heard[other.index]
		if other.up && other.paused <= now && e.reaches(other) {
			e.heard[other.index] = now
			moved = moved || now-at >= heartbeatTimeout
		} else {
			moved = moved || now-at >= heartbeatTimeout && now-at < heartbeatTimeout+viewInterval
		}
	}
	if !moved {
		return
	}
	var seeds []uint64
	if changed {
		for _, other := range e.known {
			seeds = append(seeds, other.seed)
		}
	}
	for i := range e.organisations {
		e.assign(i, seeds)
	}
}

func (e *entry) assign(organisation int, seeds []uint64) {
	s := &e.organisations[organisation]
	key := e.w.keys[organisation]
	if seeds != nil {
		s.first = rank.First(key, seeds)
	}
	s.holder.Asker = e.seed
	parts := 0
	places := make([]holder.Place, 0, quota.Parts)
	turn := int((key ^ e.seed) % quota.Parts)
	for _, i := range s.first {
		if e.known[i] == e {
			parts++
		}
	}
	switch {
	case parts == 0:
		s.account = nil
	case s.account == nil || s.parts != parts:
		s.account = &bucket.Account{}
		s.account.Set(e.clock(), s.params, parts)
	}
	s.parts = parts
	for k := range s.first {
		other := e.known[s.first[(k+turn)%quota.Parts]]
		p := holder.Place{Entry: other.addr, Distance: e.distance(other)}
		switch {
		case other != e:
			p.Alive = e.w.now-e.heard[other.index] < heartbeatTimeout
		case e.granting:
			p.Own = s.account
		}
		places = append(places, p)
	}
	s.holder.SetParts(holder.Arrange(places))
	e.settle(s, organisation, s.holder.Expire(e.clock()))
}

func (e *entry) distance(other *entry) int {
	switch {
	case e.zone == other.zone:
		return 0
	case e.region == other.region:
		return 1
	default:
		return 2
	}
}

func (e *entry) request(organisation int) {
	s := &e.organisations[organisation]
	v := s.holder.Take(e.clock())
	if v.Outcome != quota.Pending {
		e.decide(organisation, v)
		e.ask(organisation)
		return
	}
	w := &holder.Waiter{}
	if s.waiting == nil {
		s.waiting = make(map[*holder.Waiter]time.Duration)
	}
	s.waiting[w] = e.w.now
	s.holder.Wait(e.clock(), w)
	e.ask(organisation)
	life := e.life
	e.w.At(e.w.now+holder.MaxWait, func() {
		e.run(life, func() { e.settle(s, organisation, s.holder.Expire(e.clock())) })
	})
}

func (e *entry) decide(organisation int, v quota.Verdict) {
	w := e.w
	switch v.Outcome {
	case quota.Granted:
		w.Granted++
		w.sent[organisation] = append(w.sent[organisation], w.now+time.Duration(w.rng.Int64N(int64(sendDelay))))
	case quota.Exceeded:
		w.Exceeded++
		if w.level(organisation) >= quota.Parts {
			w.Needless++
		}
	default:
		w.Unavailable++
	}
}

func (e *entry) settle(s *state, organisation int, settled []*holder.Waiter) {
	for _, waiter := range settled {
		e.w.Waited++
		e.w.LongestWait = max(e.w.LongestWait, e.w.now-s.waiting[waiter])
		delete(s.waiting, waiter)
		e.decide(organisation, waiter.Verdict)
	}
}

// ask sends the questions that are due.
func (e *entry) ask(organisation int) {
	s, life := &e.organisations[organisation], e.life
	for {
		ask, ok := s.holder.Ask(e.clock())
		if !ok {
			return
		}
		if e.w.config.Greedy {
			ask.Want = 20 + 10*ask.Want
		}
		to := e.w.byAddress(ask.Entry)
		if e.outbox == nil {
			e.outbox = make(map[*entry][]item)
		}
		e.outbox[to] = append(e.outbox[to], item{organisation, ask})
		switch {
		case ask.Urgent:
			e.flush(to)
		case len(e.outbox[to]) == 1:
			e.w.At(e.w.now+collectFor, func() { e.run(life, func() { e.flush(to) }) })
		}
	}
}

func (e *entry) flush(to *entry) {
	batch := e.outbox[to]
	delete(e.outbox, to)
	for chunk := range slices.Chunk(batch, message.MaxWants) {
		e.send(to, chunk)
	}
}

func (e *entry) send(to *entry, batch []item) {
	wants := make([]message.Want, len(batch))
	for i, it := range batch {
		wants[i] = message.Want{Organisation: e.w.keys[it.organisation], Tokens: it.ask.Want}
	}
	e.w.Questions++
	e.w.Wants += len(batch)
	data, _ := message.EncodeQuestion(wants)
	e.w.Bytes += len(data) + envelope
	life, answered := e.life, false
	e.w.deliver(e, to, func() {
		answers := to.answer(e, batch)
		data, _ := message.EncodeAnswers(answers)
		e.w.Bytes += len(data) + envelope
		e.w.deliver(to, e, func() {
			if answered || e.life != life {
				return // the exchange drops it
			}
			answered = true
			for i, it := range batch {
				s := &e.organisations[it.organisation]
				e.settle(s, it.organisation, s.holder.Answer(e.clock(), it.ask, answers[i]))
				e.ask(it.organisation)
			}
		})
	})
	e.w.At(e.w.now+holder.Overdue, func() {
		e.run(life, func() {
			if answered {
				return
			}
			for _, it := range batch {
				s := &e.organisations[it.organisation]
				e.settle(s, it.organisation, s.holder.Late(e.clock(), it.ask))
				e.ask(it.organisation)
			}
		})
	})
	e.w.At(e.w.now+holder.MaxWait, func() { e.run(life, func() { answered = true }) })
}

func (e *entry) answer(from *entry, batch []item) []bucket.Answer {
	answers := make([]bucket.Answer, len(batch))
	for i, it := range batch {
		if s := &e.organisations[it.organisation]; s.account != nil && e.granting {
			answers[i] = s.account.Ask(e.clock(), from.seed, it.ask.Want)
		}
	}
	return answers
}

// level returns the number of tokens in the buckets of an organisation.
func (w *World) level(organisation int) int {
	n := 0
	for _, e := range w.entries {
		if s := &e.organisations[organisation]; e.up && e.granting && s.account != nil {
			n += s.account.Level(e.clock())
		}
	}
	return n
}

func (w *World) byAddress(addr netip.AddrPort) *entry {
	b := addr.Addr().As4()
	return w.entries[int(b[1])<<8|int(b[2])]
}

// deliver delivers a datagram, unless it is lost.
func (w *World) deliver(from, to *entry, f func()) {
	if !from.reaches(to) || w.rng.Float64() < w.config.Lost {
		return
	}
	copies := 1
	if w.rng.Float64() < w.config.Doubled {
		copies = 2
	}
	for range copies {
		delay := time.Duration(float64(w.latency(from, to)) * (1 + 0.3*w.rng.Float64()))
		if w.rng.Float64() < w.config.Late {
			delay += time.Duration(w.rng.Int64N(int64(time.Second)))
		}
		w.At(w.now+delay, func() {
			if to.up && from.reaches(to) {
				to.run(to.life, f)
			}
		})
	}
}

func (w *World) latency(from, to *entry) time.Duration {
	switch from.distance(to) {
	case 0:
		return 300 * time.Microsecond
	case 1:
		return 1400 * time.Microsecond
	default:
		return 12 * time.Millisecond
	}
}
