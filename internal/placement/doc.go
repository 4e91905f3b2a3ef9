// Package placement orders the backend servers that a request may be sent to.
//
// [Steer] determines the share of the requests of one service at one entry that
// each region gets. Regions form tiers by their delay from the entry; regions
// of weight 0 are in the last tier regardless of delay. Within a tier requests
// are split by weight. Each region keeps a fraction of the requests assigned to
// it and passes the rest to the next tier. The fraction is lowered in steps
// while the region's load is above [HighLoad] and raised in steps while it is
// below [LowLoad]; in between it doesn't change. After a step, the next step
// requires a load that was measured after the first one took effect, so that a
// delayed measurement is never acted on twice.
//
// A load that is missing, stale, from the future or out of range is unknown. A
// region of unknown load keeps its fraction and gets no overflow: no other
// region steps down in its favour.
//
// [Table] is immutable and serves the request path: it determines the order in
// which servers are considered for a request. The first region is drawn at
// random by the shares from Steer, the others follow by delay. Within a region
// the nearest zone comes first, but zones with a tried server come after those
// without, and tried servers are left out. A server in slow start precedes the
// warm servers of its region only for the fraction of requests that its ramp
// allows, and otherwise follows them, so that it serves requests that would have
// to wait for a slot.
//
// # Usage
//
//	if steer.Step(now, loads) {
//		table.Store(placement.NewTable(steer.Shares(), members))
//	}
//	buf = table.Load().Order(draw, req.Tried, buf[:0])
//	for _, server := range buf {
//		// take the first that has a slot
//	}
package placement
