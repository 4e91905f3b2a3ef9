// Package placement orders the backend servers that a request may be sent to.
//
// [Steer] decides, for one service at one entry, which part of its requests
// each region gets. Regions form tiers by their delay from the entry; a region
// of weight 0 is in the last tier whatever its delay. Within a tier requests
// are split by weight. Each region keeps a part of what it is given and passes
// the rest to the next tier. A region that reports little headroom keeps less,
// one step at a time, and one that reports much keeps more. Between two steps
// of a region its load must have been measured anew, after the last step could
// show, so that a late measurement is never acted on twice. Between the two
// bounds nothing changes.
//
// A load that is missing, stale, from the future or not a sane number is
// unknown. A region of unknown load keeps what it has and gets no more: no
// other region steps down in its favour.
//
// [Table] is immutable and serves the request path: it gives each request an
// order of servers. The first region is drawn by the parts that Steer decided,
// the others follow by delay. Within a region the nearest zone comes first, but
// zones that were tried come after those that were not, and servers that were
// tried don't come at all. A server in its slow start comes before the region's
// warm ones only as often as its ramp allows, and else after them all: it takes
// what would otherwise wait.
//
// # Usage
//
//	if steer.Step(now, loads) {
//		table.Store(placement.NewTable(steer.Parts(), members))
//	}
//	buf = table.Load().Order(draw, req.Tried, buf[:0])
//	for _, server := range buf {
//		// take the first that has a slot
//	}
package placement
