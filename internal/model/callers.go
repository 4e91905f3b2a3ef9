package model

import (
	"fmt"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/admitorder"
	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// repeatDelay is the time after which callers that don't heed Retry-After retry.
	repeatDelay = 20 * time.Millisecond
	// maxRepeats limits their retries.
	maxRepeats = 20
	// maxRetries limits the retries of callers that heed Retry-After.
	maxRetries = 3
	// retryPart is the least Retry-After and its jitter, as a part of the time left.
	retryPart = 8
)

type (
	// Organisation is a group of callers.
	Organisation struct {
		// Name is its name.
		Name id.Organisation
		// Share is its part of each class's rate.
		Share float64
		// Peak and Demand describe its demand as a multiple of the usual one: the greatest
		// and that at a time after the start. A nil Demand is always 1.
		Peak   float64
		Demand func(at time.Duration) float64
		// Region, if not nil, returns the region of the entries that it uses at a time
		// after the start, -1 for all.
		Region func(at time.Duration) int
		// Repeats is set if its callers retry at once after a refusal.
		Repeats bool
	}

	// Tally counts requests by outcome.
	Tally struct {
		// Served counts those that were answered by their deadline, Late those of them
		// after their objective, and Refused the others.
		Served, Late, Refused int
	}
)

// All returns the number of requests.
func (t Tally) All() int { return t.Served + t.Refused }

// Fraction returns the fraction of the requests that were served, 1 without requests.
func (t Tally) Fraction() float64 {
	if t.All() == 0 {
		return 1
	}
	return float64(t.Served) / float64(t.All())
}

// Tally counts the requests that arrived in a period, of the classes of a kind (empty for all)
// and of the organisations that match.
func (r *Report) Tally(from, to time.Duration, kind service.Kind, match func(*Organisation) bool) Tally {
	var t Tally
	for _, o := range r.outcomes {
		if o.arrived < from || o.arrived >= to || kind != "" && o.class.Kind != kind || !match(o.caller) {
			continue
		}
		switch {
		case o.credit == 0:
			t.Refused++
		case o.credit < 1:
			t.Late++
			t.Served++
		default:
			t.Served++
		}
	}
	return t
}

func (o *Organisation) peak() float64 { return o.Share * max(o.Peak, 1) }

// callersPeak returns the greatest sum of the organisations' demand, 1 if there are none.
func (m *Model) callersPeak() float64 {
	if len(m.Organisations) == 0 {
		return 1
	}
	sum := 0.0
	for i := range m.Organisations {
		sum += m.Organisations[i].peak()
	}
	return sum
}

// pickCaller returns the organisation of an arrival at the greatest rate, and false if its
// demand is lower now.
func (m *Model) pickCaller() (*Organisation, bool) {
	if len(m.Organisations) == 0 {
		return nil, true
	}
	at := m.rng.Float64() * m.callersPeak()
	o := &m.Organisations[len(m.Organisations)-1]
	for i := range m.Organisations {
		if at -= m.Organisations[i].peak(); at < 0 {
			o = &m.Organisations[i]
			break
		}
	}
	demand := 1.0
	if o.Demand != nil {
		demand = o.Demand(m.now.Sub(m.start))
	}
	return o, m.rng.Float64()*max(o.Peak, 1) < demand
}

// arrivalEntryOf returns the entry at which a request of an organisation arrives.
func (m *Model) arrivalEntryOf(o *Organisation) *entry {
	if o == nil || o.Region == nil {
		return m.arrivalEntry()
	}
	home := o.Region(m.now.Sub(m.start))
	if home < 0 {
		return m.arrivalEntry()
	}
	regions := len(m.Service.Regions)
	return m.entries[m.rng.IntN((len(m.entries)-home+regions-1)/regions)*regions+home]
}

func (o *Organisation) retries() int {
	switch {
	case o == nil:
		return 1
	case o.Repeats:
		return maxRepeats
	default:
		return maxRetries
	}
}

// place sets the place of a request in the order of refusal.
func (e *entry) place(r *request, req *dispatch.Request) {
	if !e.model.Ordered || r.caller == nil {
		r.place.At = req.Draw
		return
	}
	req.Uniform, req.Ordered = req.Draw, true
	if r.sends == 0 {
		r.place = e.order.Place(&admitorder.Request{
			Service: serviceName, Organisation: r.caller.Name, Repeated: e.order.Refusals.Early(e.model.now, r.fingerprint),
			Class: admitorder.Class{Priority: r.route.Priority, RoutePriority: r.route.Priority, Kind: r.route.Kind, Objective: r.route.Objective},
		}, req.Draw)
	}
	req.Draw, req.Objective = r.place.Draw, r.place.Objective
}

// retryLater lets the caller retry.
func (e *entry) retryLater(r *request) {
	m := e.model
	r.retriesLeft--
	left := r.deadline().Sub(m.now)
	delay := repeatDelay
	if !r.caller.Repeats {
		delay = left/retryPart + time.Duration(m.policyRNG.Float64()*float64(left)/retryPart)
		if m.Ordered {
			delay += admitorder.RetryLater(left, r.place.At)
		}
	}
	e.order.Refusals.Note(m.now, r.fingerprint, left/retryPart)
	r.tried, r.sends = slices.Clip(r.tried[:0]), 0
	m.after(delay, func() {
		r.attemptStart = m.now
		e.send(r)
	})
}

// String returns the fractions that were served and that were served late.
func (t Tally) String() string {
	return fmt.Sprintf("%.3f (late %.3f) of %d", t.Fraction(), float64(t.Late)/float64(max(t.All(), 1)), t.All())
}
