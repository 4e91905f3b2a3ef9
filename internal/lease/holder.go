package lease

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// marginShare is the part of a lifetime by which a holder stops early, so that
// clocks may differ in rate by as much.
const marginShare = 10

type (
	// Owner identifies the process that holds a lease.
	Owner struct {
		// Instance is the instance it runs on.
		Instance id.Instance `json:"instance"`
		// Incarnation tells it from earlier processes there.
		Incarnation id.Incarnation `json:"incarnation"`
	}

	// Record is a lease as the store holds it.
	Record struct {
		// Term numbers the holders; it rises with each.
		Term id.Term `json:"term"`
		// Holder holds the lease, or held it last.
		Holder Owner `json:"holder"`
		// Released means that the holder gave the lease back.
		Released bool `json:"released,omitempty"`
	}

	// Write is a conditional write of the record. It takes effect only if the
	// record's version is Version, 0 for an absent record.
	Write struct {
		// Record is what is written.
		Record Record
		// Version is the version that it replaces.
		Version store.Version
		// wait tells that the former holder may still act.
		wait bool
		// again tells that the holder raises the term of its own lease.
		again bool
	}

	// Holder is the state of one lease at one process. It is not safe for
	// concurrent use; a copy is an independent state.
	Holder struct {
		// Self is this process.
		Self Owner
		// Lifetime is how long a confirmation lasts.
		Lifetime time.Duration
		// Deadline is the longest time for which a request admitted under a
		// grant may run.
		Deadline time.Duration
		// Timed lets a lease be taken over when its record did not change for
		// a lifetime.
		Timed bool

		known     bool
		raise     bool
		doubted   bool      // a write met another version; only a write clears it
		paused    bool      // the process once stood still, or is called gone
		ticked    time.Time // when the process last ran
		record    Record
		version   store.Version
		since     time.Time // when this version was first seen
		confirmed time.Time // when the last successful own write began
		active    time.Time // before it a former holder may still act
		free      time.Time
	}
)

// Known tells whether the version of the record is known. If not, the record
// must be read before anything is written.
func (h *Holder) Known() bool { return h.known }

// Record returns the record last seen.
func (h *Holder) Record() Record { return h.record }

// Read takes a read of the record that ended at now; version 0 means that it
// is absent. A version older than one seen before is ignored.
func (h *Holder) Read(now time.Time, r Record, v store.Version) {
	if v != 0 && v < h.version {
		return
	}
	if v == 0 {
		r = Record{Term: h.record.Term}
	}
	if h.Timed && (v != h.version || h.since.IsZero()) {
		h.since = now
	}
	if r.Term != h.record.Term || r.Holder != h.Self || r.Released {
		h.lose()
	}
	h.known, h.record, h.version = true, r, v
}

// Tick notes that the process runs at now. Between two ticks there should be
// far less than a lifetime; more means that the process was paused.
func (h *Holder) Tick(now time.Time) {
	if !h.ticked.IsZero() && now.Sub(h.ticked) >= h.Lifetime {
		h.Suspect()
	}
	h.ticked = now
}

// Suspect notes that the platform calls the process's own instance gone, or
// may do so: from now on the right ends with its confirmation.
func (h *Holder) Suspect() { h.paused = true }

// Next returns the write to be tried, false if there is none. It must be
// called with the current time right before the write. gone tells whether the
// platform says that an instance has ended.
func (h *Holder) Next(now time.Time, want bool, gone func(id.Instance) bool) (Write, bool) {
	w := Write{Record: h.record, Version: h.version}
	switch mine := h.mine(); {
	case !h.known:
		return Write{}, false
	case mine && want:
		if h.raise {
			w.Record.Term++
			w.again = true
		}
		return w, true
	case mine:
		h.lose() // stops before the release can take effect
		w.Record.Released = true
		return w, true
	case !want || !h.mayTake(now, gone):
		return Write{}, false
	}
	w.Record = Record{Term: h.record.Term + 1, Holder: h.Self}
	w.wait = h.version != 0 && !h.record.Released && !h.expired(now)
	return w, true
}

// Wrote takes the success of a write that began and ended at the given times.
func (h *Holder) Wrote(began, now time.Time, w Write, v store.Version) {
	taken := w.Record.Term != h.record.Term
	h.known, h.record, h.version, h.doubted = true, w.Record, v, false
	if h.Timed {
		h.since = now
	}
	if w.Record.Released {
		h.lose()
		return
	}
	if w.again {
		h.raise = false
	}
	if (taken && !w.again) || h.active.IsZero() {
		h.active = now
		// A renewal without a known taking follows a taking whose answer was
		// lost; what went before it is not known.
		if w.wait || !taken {
			h.active = now.Add(h.Lifetime)
		}
		h.free = now.Add(h.Lifetime + h.Deadline)
	}
	h.confirmed = began
}

// Raise lets the next write raise the term of a lease that is held, so that
// what was granted under the present one is asked for anew.
func (h *Holder) Raise() { h.raise = true }

// Failed takes the failure of a write; conflict tells that its condition did
// not hold, otherwise nobody knows whether it took effect. The record must be
// read again.
func (h *Holder) Failed(conflict bool) {
	h.known = false
	h.doubted = h.doubted || conflict
}

// Remaining returns how long from now the process may act under the record's
// term; 0 if it may not. What it grants must end within that time, counted
// from when the grant was asked for.
//
// A lease that is not timed outlasts its confirmation while the store can't be
// asked, as long as no write met another version and the process has never
// stood still for a lifetime: the platform doesn't call its instance gone then,
// and nobody takes the lease over. A process that did stand still may have been
// called gone, so from then on its right ends with its confirmation.
func (h *Holder) Remaining(now time.Time) time.Duration {
	if h.confirmed.IsZero() || now.Before(h.active) {
		return 0
	}
	strict := h.until(h.confirmed).Sub(now)
	if strict > 0 || h.Timed || h.doubted || h.paused || h.ticked.IsZero() {
		return max(0, strict)
	}
	return max(0, h.until(h.ticked).Sub(now))
}

// until returns when a right that was confirmed at a time ends.
func (h *Holder) until(at time.Time) time.Time {
	return at.Add(h.Lifetime - h.Lifetime/marginShare)
}

// FreeAt returns when nothing that a former holder granted can be running any
// longer; the zero time if the lease is not held.
func (h *Holder) FreeAt() time.Time { return h.free }

func (h *Holder) mine() bool {
	return h.version != 0 && h.record.Holder == h.Self && !h.record.Released
}

func (h *Holder) lose() { h.confirmed, h.active, h.free = time.Time{}, time.Time{}, time.Time{} }

func (h *Holder) mayTake(now time.Time, gone func(id.Instance) bool) bool {
	r := h.record
	sameInstance := r.Holder.Instance == h.Self.Instance
	switch {
	case h.version == 0, r.Released, h.expired(now):
		return true
	case sameInstance:
		return r.Holder.Incarnation < h.Self.Incarnation
	default:
		return gone(r.Holder.Instance)
	}
}

// expired tells whether the holder of a timed lease has stopped by its own
// clock: its last write took effect before the version was first seen here.
func (h *Holder) expired(now time.Time) bool {
	return h.Timed && now.Sub(h.since) >= h.Lifetime
}
