package lease

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// marginDivisor sets the safety margin: a holder stops a tenth of a lifetime early,
// so that the rates of two clocks may differ by as much.
const marginDivisor = 10

type (
	// Owner identifies the process that holds a lease.
	Owner struct {
		// Instance is the instance it runs on.
		Instance id.Instance `json:"instance"`
		// Incarnation distinguishes it from earlier processes there.
		Incarnation id.Incarnation `json:"incarnation"`
	}

	// Record is a lease as stored.
	Record struct {
		// Term is the fencing token; it increases with each new holder.
		Term id.Term `json:"term"`
		// Holder is the current holder, or the last one of a released lease.
		Holder Owner `json:"holder"`
		// Released means that the holder released the lease.
		Released bool `json:"released,omitempty"`
	}

	// Write is a conditional write of the record. It takes effect only if the
	// record's version is Version, zero for an absent record.
	Write struct {
		// Record is the record to write.
		Record Record
		// Version is the version that the write replaces.
		Version store.Version
		// delayed means that the former holder may still act, so the new one
		// has to wait.
		delayed bool
		// raisesTerm means that the holder raises the term of its own lease.
		raisesTerm bool
	}

	// Holder is the state of one lease at one process. It is not safe for
	// concurrent use; a copy is independent of the original.
	Holder struct {
		// Self is this process.
		Self Owner
		// Lifetime is how long a confirmation is valid.
		Lifetime time.Duration
		// Deadline is the longest time for which a request admitted under a
		// grant may run.
		Deadline time.Duration
		// Timed lets a lease be taken over when its record did not change for
		// a lifetime.
		Timed bool

		known        bool
		raise        bool
		conflicted   bool      // a write failed on another version; only a write clears it
		suspect      bool      // the process was paused, or the platform reported it gone
		lastTick     time.Time // when the process last ran
		record       Record
		version      store.Version
		versionSince time.Time // when this version was first seen
		confirmedAt  time.Time // when the last successful own write began
		activeFrom   time.Time // before this time a former holder may still act
		freeAt       time.Time
	}
)

// Known reports whether the version of the record is known. If not, the record
// must be read before the next write.
func (h *Holder) Known() bool { return h.known }

// Record returns the record last seen.
func (h *Holder) Record() Record { return h.record }

// ApplyRead applies a read of the record that ended at now; the zero version means
// that the record is absent. A version older than one seen before is ignored.
func (h *Holder) ApplyRead(now time.Time, r Record, v store.Version) {
	if !v.IsZero() && v.Before(h.version) {
		return
	}
	if v.IsZero() {
		r = Record{Term: h.record.Term}
	}
	if h.Timed && (v != h.version || h.versionSince.IsZero()) {
		h.versionSince = now
	}
	if r.Term != h.record.Term || r.Holder != h.Self || r.Released {
		h.invalidate()
	}
	h.known, h.record, h.version = true, r, v
}

// Tick records that the process is running at now. The interval between two ticks
// should be far below a lifetime; a lifetime or more means that the process was
// paused.
func (h *Holder) Tick(now time.Time) {
	if !h.lastTick.IsZero() && now.Sub(h.lastTick) >= h.Lifetime {
		h.Suspect()
	}
	h.lastTick = now
}

// Suspect records that the platform reports this process's own instance as gone,
// or may do so. From now on the lease expires with its confirmation, also during a
// store outage.
func (h *Holder) Suspect() { h.suspect = true }

// Next returns the write to try, false if there is none. It must be called with
// the current time right before the write. gone reports whether the platform lists
// an instance as gone.
func (h *Holder) Next(now time.Time, want bool, gone func(id.Instance) bool) (Write, bool) {
	w := Write{Record: h.record, Version: h.version}
	switch mine := h.held(); {
	case !h.known:
		return Write{}, false
	case mine && want:
		if h.raise {
			w.Record.Term++
			w.raisesTerm = true
		}
		return w, true
	case mine:
		h.invalidate() // stop acting before the release can take effect
		w.Record.Released = true
		return w, true
	case !want || !h.mayAcquire(now, gone):
		return Write{}, false
	}
	w.Record = Record{Term: h.record.Term + 1, Holder: h.Self}
	w.delayed = !h.version.IsZero() && !h.record.Released && !h.expired(now)
	return w, true
}

// ApplyWrite applies a successful write that began and ended at the given times.
func (h *Holder) ApplyWrite(began, now time.Time, w Write, v store.Version) {
	taken := w.Record.Term != h.record.Term
	h.known, h.record, h.version, h.conflicted = true, w.Record, v, false
	if h.Timed {
		h.versionSince = now
	}
	if w.Record.Released {
		h.invalidate()
		return
	}
	if w.raisesTerm {
		h.raise = false
	}
	if (taken && !w.raisesTerm) || h.activeFrom.IsZero() {
		h.activeFrom = now
		// A renewal without a known takeover follows a takeover whose answer
		// was lost, so the lease before it is not known.
		if w.delayed || !taken {
			h.activeFrom = now.Add(h.Lifetime)
		}
		h.freeAt = now.Add(h.Lifetime + h.Deadline)
	}
	h.confirmedAt = began
}

// RequestTerm makes the next write raise the term of a held lease, so that
// everything granted in the current term has to be requested again.
func (h *Holder) RequestTerm() { h.raise = true }

// WriteFailed applies a failed write. conflict means that its condition did not
// hold; otherwise it is unknown whether the write took effect. The record must be
// read again.
func (h *Holder) WriteFailed(conflict bool) {
	h.known = false
	h.conflicted = h.conflicted || conflict
}

// Remaining returns how long from now the process may act in the record's term; 0
// if it may not. Its grants must expire within that time, counted from when they
// were requested.
//
// During a store outage a lease that is not timed stays valid beyond its
// confirmation, as long as no write conflicted with another version and the
// process was never paused for a lifetime: the platform then does not report its
// instance as gone, and no other process takes over the lease. A process that was
// paused may have been reported as gone, so its lease expires with its
// confirmation.
func (h *Holder) Remaining(now time.Time) time.Duration {
	if h.confirmedAt.IsZero() || now.Before(h.activeFrom) {
		return 0
	}
	strict := h.until(h.confirmedAt).Sub(now)
	if strict > 0 || h.Timed || h.conflicted || h.suspect || h.lastTick.IsZero() {
		return max(0, strict)
	}
	return max(0, h.until(h.lastTick).Sub(now))
}

// until returns when a lease that was confirmed at the given time expires.
func (h *Holder) until(at time.Time) time.Time {
	return at.Add(h.Lifetime - h.Lifetime/marginDivisor)
}

// FreeAt returns the time after which no request admitted under a former holder's
// grants can still be running; the zero time if the lease is not held.
func (h *Holder) FreeAt() time.Time { return h.freeAt }

func (h *Holder) held() bool {
	return !h.version.IsZero() && h.record.Holder == h.Self && !h.record.Released
}

func (h *Holder) invalidate() {
	h.confirmedAt, h.activeFrom, h.freeAt = time.Time{}, time.Time{}, time.Time{}
}

func (h *Holder) mayAcquire(now time.Time, gone func(id.Instance) bool) bool {
	r := h.record
	sameInstance := r.Holder.Instance == h.Self.Instance
	switch {
	case h.version.IsZero(), r.Released, h.expired(now):
		return true
	case sameInstance:
		return r.Holder.Incarnation < h.Self.Incarnation
	default:
		return gone(r.Holder.Instance)
	}
}

// expired reports whether the holder of a timed lease has stopped by its own
// clock. This holds a lifetime after the version was first seen here, since the
// holder's last write took effect before that.
func (h *Holder) expired(now time.Time) bool {
	return h.Timed && now.Sub(h.versionSince) >= h.Lifetime
}
