// Package quota computes how the limit of an organisation is enforced by entries that don't
// coordinate before each request.
//
// An organisation may send Rate requests a second with bursts of Burst, over all entries
// together. Its limit is divided into [Parts] parts, each with a token bucket at one entry.
// The other entries ask these for tokens, which they may spend within the term. A token is
// charged before it is spent, and spent at most a term later, so that a window W sees at most
// Rate x (W + Term) + Burst requests. [Bounds.Parameters] chooses the term so that this is
// within the bound for a window.
//
// The decisions are in the packages below this one: bucket (the accountable side), rank
// (which entries are accountable) and holder (the asking side). Package limiter runs them.
//
// # Usage
//
//	p := bounds.Parameters(organisation)
//	if p.Limited() {
//		account.Set(now, p, 1)
//	}
package quota
