// Package link keeps the entries' traffic between two regions within a budget.
//
// A link carries traffic that isn't ours too, which is measured late. The
// entries together may use at most their part of the capacity, and at most
// what the last measurement left, less a margin for what has changed since.
// [Limit] is that budget for one direction; each entry uses its share of it,
// which comes from the package share.
//
// A [Budget] is one entry's share toward one region. Bodies of uploads are
// admitted by size: one for which there is no room within its deadline is
// refused at once, unsent. Admitted bodies are paced in small chunks by
// [Body.Next], which tells how many bytes may go now and else how long to wait;
// all bodies together get the whole budget while they have data. Small requests
// and answers never wait behind a body: [Budget.Pass] lets them through and
// puts the bodies off instead, from a reserve first.
//
// In any one second the bytes of bodies and small requests together stay
// within the highest rate that was in force in that second.
//
// # Usage
//
//	budget.SetRate(link.Limit(l, foreign, now).BytesPerSecond(), grant.Share)
//
//	body, retryAfter := budget.Admit(size, time.Until(deadline))
//	if body == nil {
//		return refused(result.LinkFull, retryAfter)
//	}
//	defer body.Close()
//	for {
//		n, wait := body.Next(now, len(buf))
//		// send n bytes, or wait
//	}
package link
