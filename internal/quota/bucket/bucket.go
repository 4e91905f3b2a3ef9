// Package bucket keeps the part of an organisation's limit that an entry is accountable for.
//
// A [Bucket] starts empty: what an earlier process of the entry has granted is at most what
// the bucket would have held. An [Account] grants its tokens to entries, and tells those that
// it refuses when to ask again. That time grows with the number of entries that ask, so
// that they take turns and an organisation far over its limit causes few questions.
//
// # Usage
//
//	a.Set(now, parameters, parts)
//	answer := a.Ask(now, asker, want)
package bucket

import (
	"math"
	"math/bits"
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/quota"
)

const (
	// minWait and maxWait bound the time after which a refused entry asks again. The former
	// is a sixth of the time in which most buckets fill, so that they don't overflow.
	minWait = 50 * time.Millisecond
	maxWait = time.Second
	// spacing is the mean time between the questions of refused entries, as far as the
	// bucket holds the tokens of the time until all have asked, and up to maxSpaced.
	spacing   = 15 * time.Millisecond
	maxSpaced = 500 * time.Millisecond
	// askerSpan is the time over which entries that were refused are counted.
	askerSpan = time.Second
	// askerBits is the size of the bitmap that counts them.
	askerBits = 256
)

type (
	// Bucket is a token bucket.
	Bucket struct {
		level, rate, burst float64
		at                 boottime.Instant
	}

	// Account is the bucket of one organisation, with the entries that it has refused.
	Account struct {
		Bucket

		term time.Duration
		// The bitmap of the refused entries of the present span, and their number in the
		// one before.
		span    int64
		refused [askerBits / 64]uint64
		before  float64
	}

	// Answer is the answer to a question for tokens.
	Answer struct {
		_ struct{} `cbor:",toarray"`

		// Granted is the number of granted tokens.
		Granted int
		// Left is the number of tokens that are left in the bucket.
		Left int
		// WaitMillis is the time in milliseconds after which an entry that got less than
		// it asked for may ask again.
		WaitMillis int
		// TermMillis is the term of the tokens in milliseconds, 0 if the entry can't
		// answer for the organisation.
		TermMillis int
	}
)

// Set applies a rate and burst from now on.
func (b *Bucket) Set(now boottime.Instant, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Take takes up to want whole tokens and returns their number.
func (b *Bucket) Take(now boottime.Instant, want int) int {
	b.refill(now)
	n := min(want, b.whole())
	b.level -= float64(n)
	return n
}

// Next returns the time until the bucket holds a whole token.
func (b *Bucket) Next(now boottime.Instant) time.Duration {
	b.refill(now)
	switch {
	case b.level >= 1:
		return 0
	case b.rate <= 0 || b.burst < 1:
		return maxWait
	default:
		return seconds(min((1-b.level)/b.rate, maxWait.Seconds()))
	}
}

// Level returns the number of whole tokens in the bucket.
func (b *Bucket) Level(now boottime.Instant) int {
	b.refill(now)
	return b.whole()
}

func (b *Bucket) whole() int { return int(b.level) }

func (b *Bucket) refill(now boottime.Instant) {
	if b.at != 0 && now > b.at {
		b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.burst)
	}
	b.at = max(b.at, now)
}

// Set applies parameters from now on. The account has a number of the parts of the limit.
func (a *Account) Set(now boottime.Instant, p quota.Parameters, parts int) {
	share := float64(parts) / quota.Parts
	a.term = p.Term
	a.Bucket.Set(now, float64(p.Rate)*share, p.Burst*share)
}

// Term returns the term of the tokens.
func (a *Account) Term() time.Duration { return a.term }

// Ask grants up to want tokens to an entry, which is identified by a hash.
func (a *Account) Ask(now boottime.Instant, asker uint64, want int) Answer {
	want = max(want, 0)
	ans := Answer{Granted: a.Take(now, want), Left: a.whole(), TermMillis: int(a.term / time.Millisecond)}
	if ans.Granted < want {
		ans.WaitMillis = int(a.refuse(now, asker) / time.Millisecond)
	}
	return ans
}

// refuse counts an entry that gets less than it asked for, and returns after which time it
// may ask again: when half of the refused entries have got a token. Entries ask at random, so
// that with one question for each token one in seven would be lost by a bucket of two.
func (a *Account) refuse(now boottime.Instant, asker uint64) time.Duration {
	if span := int64(now) / int64(askerSpan); span != a.span {
		a.before = 0
		if span == a.span+1 {
			a.before = a.count()
		}
		a.span, a.refused = span, [askerBits / 64]uint64{}
	}
	bit := asker % askerBits
	a.refused[bit/64] |= 1 << (bit % 64)
	if a.rate <= 0 {
		return maxWait
	}
	entries := max(a.before, a.count())
	wait := max(a.Next(now), seconds(min(entries/a.rate/2, maxWait.Seconds())))
	spaced := min(entries*spacing.Seconds(), a.burst/a.rate/2, maxSpaced.Seconds())
	// Entries that are refused together are to come back one after the other.
	jitter := 0.5 + owner.Fraction(asker, uint64(now))
	return min(time.Duration(jitter*float64(max(wait, seconds(spaced), minWait))), maxWait)
}

// count estimates the number of refused entries of the present span from the bitmap.
func (a *Account) count() float64 {
	set := 0
	for _, word := range a.refused {
		set += bits.OnesCount64(word)
	}
	return -askerBits * math.Log(1-min(float64(set), askerBits-1)/askerBits)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
