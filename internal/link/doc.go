// Package link limits the entries' traffic between two regions to a budget.
//
// A link also carries traffic of other systems, whose measurements are delayed.
// The entries together may use at most their configured share of the capacity,
// and at most the capacity that the last measurement left free, less a margin
// for changes since then. [Limit] computes this budget for one direction. Each
// entry uses its share of it, which comes from the package share.
//
// A [Budget] is one entry's share toward one region. The bodies of uploads are
// admitted by size: a body that can't be sent within its deadline is refused
// before any of it is sent. Admitted bodies are paced in small chunks by
// [Body.Next], which returns how many bytes may be sent now or how long to wait.
// Bodies with data to send use the whole budget. Small requests and responses
// never wait behind a body: [Budget.AdmitSmall] admits them immediately, first
// from a reserve and then by delaying the bodies.
//
// In any interval of one second, the bytes of bodies and small requests together
// stay within the highest rate that was set during that second.
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
