// Package holder decides for one organisation at one entry: which requests may be sent, and
// when to ask which accountable entry for how many tokens.
//
// Tokens expire a term after the question that they were granted for, by the asker's clock.
// A request that finds no token waits for an answer, for [MaxWait] at most. It is refused
// when two accountable entries haven't answered, or when all have said that they are empty and
// the times that they named haven't passed.
//
// Tokens that expire unspent are lost, so an entry keeps a stock only for a fraction of the
// time for which its demand has lasted: demand that moves between entries then loses no more
// than that fraction.
//
// # Usage
//
//	v := h.Take(now)
//	if v.Outcome == quota.Pending {
//		h.Wait(now, &w)
//	}
//	for ask, ok := h.Ask(now); ok; ask, ok = h.Ask(now) {
//		send(ask)
//	}
//	settled := h.Answer(now, ask, answer)
package holder
