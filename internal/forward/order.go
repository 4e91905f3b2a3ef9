package forward

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/internal/admitorder"
	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// maxPriorityLabel is the least urgent priority with a time series of its own. It stands for
// all that are less urgent too.
const maxPriorityLabel = 9

// ordered is a request's place in the order of refusal.
type ordered struct {
	// request is what the place depends on; its Service is empty if the request has none.
	request admitorder.Request
	place   admitorder.Place
	// fingerprint identifies the request when its caller repeats it.
	fingerprint uint64
	// decided is set once it is known whether the request was refused.
	decided bool
}

// order replaces the draw of a request that is about to be sent for the first time by its
// place in the order of refusal, if the configuration in force holds organisations.
func (c *call) order(req *dispatch.Request) {
	if c.h.Order == nil || c.caller.config.Organisations == nil || c.ordered.request.Service != "" {
		return
	}
	o := &c.ordered
	o.request = admitorder.Request{
		Service: c.service,
		Class: admitorder.Class{
			Priority: req.Priority(), RoutePriority: c.route.Priority, Kind: c.route.Kind, Objective: c.route.Objective,
		},
	}
	if org := c.caller.organisation; org != nil {
		o.request.Organisation = org.Name
	}
	o.fingerprint = c.repeatFingerprint(o.request.Organisation, req.Recurring)
	o.request.Repeated = c.h.Order.Refusals.Early(c.start, o.fingerprint)
	o.place = c.h.Order.Place(&o.request, req.Draw)
	req.Ordered, req.Uniform, req.Draw, req.Objective = true, req.Draw, o.place.Draw, o.place.Objective
}

// observeOrder records whether a request with a place was refused when it was to be sent for
// the first time. Those that no server may get for other reasons don't count.
func (c *call) observeOrder() {
	o := &c.ordered
	if o.request.Service == "" || o.decided {
		return
	}
	o.decided = true
	if c.choice.Server != nil || c.choice.Reason == dispatch.Full {
		o.place.Observe(c.choice.Server == nil)
	}
}

// repeatFingerprint returns a hash of what a request and its repetitions on the connection of
// the caller have in common. Requests of different callers on the same object differ in it.
func (c *call) repeatFingerprint(org id.Organisation, namesObject bool) uint64 {
	address := c.r.RemoteAddr
	if c.origin != nil {
		address = c.origin.caller
	}
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{string(org), address, c.r.Method, c.r.URL.Path, c.r.URL.RawQuery} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	if namesObject {
		return d.Sum64() ^ c.key
	}
	return d.Sum64()
}

// noteRefusal remembers the Retry-After time of a request that was refused by its place.
func (c *call) noteRefusal(retryAfter time.Duration) {
	if c.refusedInOrder() {
		c.h.Order.Refusals.Note(time.Now(), c.ordered.fingerprint, retryAfter)
	}
}

// refusedInOrder reports whether the request was refused by its place.
func (c *call) refusedInOrder() bool {
	return c.code == result.NoCapacity && c.ordered.request.Service != ""
}

// logOrder adds the place of a refused request, and its group, to a log line.
func (c *call) logOrder(attrs []slog.Attr) []slog.Attr {
	if !c.refusedInOrder() {
		return attrs
	}
	o := &c.ordered
	return append(attrs, slog.Float64("place", math.Round(1000*o.place.At)/1000), slog.Int("priority", o.request.Class.Priority),
		slog.String("share", string(o.place.Share)), slog.Bool("guaranteed", o.place.Guaranteed))
}

// countOrder counts a request that was refused by its place.
func (c *call) countOrder() {
	if !c.refusedInOrder() {
		return
	}
	c.h.Metrics.GetOrCreateCounter(fmt.Sprintf(`shallotpier_capacity_refused_total{priority="%d",share=%q}`,
		min(c.ordered.request.Class.Priority, maxPriorityLabel), c.ordered.place.Share)).Inc()
}
