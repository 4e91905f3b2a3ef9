package roster

import (
	"cmp"
	"maps"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// endedMemory is how long the end of a server is remembered after its registration was
// removed. A copy from which the store is restored is seconds old.
const endedMemory = 5 * time.Minute

// Sources of registrations.
const (
	fromStore source = iota
	fromPeer
)

type (
	source int

	// report identifies a registration and orders those of a server.
	report struct {
		startedAt int64
		sequence  uint64
		leaving   bool
	}

	// ended is what is known of a server that is no longer registered.
	ended struct {
		report
		// member holds what its answers have said, for the case that the registration
		// of the same start comes back.
		member *Member
		// lost reports that the registration was not removed, but is missing since a
		// restore. The server may write the same one again.
		lost bool
		// restores is the value of Roster.restores when it was removed.
		restores int
		at       time.Time
		// listed reports that the store has an outdated registration again, which
		// is ignored.
		listed bool
	}

	// held is the state of the evacuated zones that were known before a restore and
	// are missing since.
	held struct {
		zones map[id.Zone]bool
		until time.Time
	}
)

// StoreRestored records that the store was restored from an older copy and is
// available since a moment. What was known of a server before then outlasts the copy's
// registrations of it: its leaving and its end until it reports otherwise by a later
// registration or a later start, a later registration until it is missing for
// [Roster.Grace].
func (r *Roster) StoreRestored(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restores++
	r.reportRestore = true
	r.storeRecovered = since
}

// EvacuationsRestored records that the evacuated zones were restored from an older copy
// and are available since a moment. Zones that are missing since then remain evacuated
// for [Roster.Grace], in which operators write them again.
func (r *Roster) EvacuationsRestored(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = held{zones: maps.Clone(r.evacuated), until: since.Add(r.Grace)}
}

func (s *Server) report() report { return report{s.StartedAt, s.Sequence, s.Leaving} }

func (s *Server) equalExceptSequence(other *Server) bool {
	same := *other
	same.Sequence = s.Sequence
	return *s == same
}

func (p report) compare(other report) int {
	return cmp.Or(cmp.Compare(p.startedAt, other.startedAt), cmp.Compare(p.sequence, other.sequence))
}

// contradicts reports whether a registration is earlier than the known one, or differs
// from it by not leaving.
func (p report) contradicts(known report) bool {
	order := p.compare(known)
	return order < 0 || order == 0 && known.leaving && !p.leaving
}

// outdated reports whether a registration is older than what is known of the server. Of
// the store's registrations only those can be that come from the copy of which it was
// restored. Those of a peer without a sequence are from a build that sends none.
func (r *Roster) outdated(s *Server, from source) bool {
	mayBe := func(restores int) bool {
		if from == fromPeer {
			return s.Sequence > 0
		}
		return restores < r.restores
	}
	if m := r.members[s.Name]; m != nil {
		return mayBe(m.restores) && s.report().contradicts(m.report())
	}
	e := r.ended[s.Name]
	switch {
	case e == nil || !mayBe(e.restores):
		return false
	case e.lost:
		return s.report().contradicts(e.report)
	default:
		return s.report().compare(e.report) <= 0
	}
}

// ignore keeps the known state of a server instead of an outdated registration.
func (r *Roster) ignore(s *Server) {
	if e := r.ended[s.Name]; e != nil {
		if !e.listed {
			r.Log.Info("outdated registration ignored", "server", s.Name, "known", "ended", "startedAt", s.StartedAt,
				"sequence", s.Sequence, "sequenceKnown", e.sequence)
		}
		e.listed = true
		return
	}
	kept := *r.members[s.Name]
	if !kept.ignores {
		r.Log.Info("outdated registration ignored", "server", s.Name, "known", "registered", "leaving", kept.Leaving, "startedAt", s.StartedAt,
			"sequence", s.Sequence, "sequenceKnown", kept.Sequence)
	}
	kept.graceEnd, kept.ignores = time.Time{}, true
	r.members[s.Name] = &kept
}

// rememberEnd records the end of a server.
func (r *Roster) rememberEnd(now time.Time, m *Member) {
	if r.ended == nil {
		r.ended = make(map[id.Server]*ended)
	}
	r.ended[m.Name] = &ended{report: m.report(), member: m, lost: m.lost, restores: r.restores, at: now}
}

// unlist records that the store has no registration of an ended server.
func (r *Roster) unlist(now time.Time, name id.Server) {
	if e := r.ended[name]; e != nil && e.listed {
		e.listed, e.at = false, now
	}
}

// forgetEnded forgets servers that ended long ago.
func (r *Roster) forgetEnded(now time.Time) {
	for name, e := range r.ended {
		if !e.listed && now.Sub(e.at) >= endedMemory {
			delete(r.ended, name)
		}
	}
}

// logRestore logs, for the first list after a restore, how the known servers differ
// from it.
func (r *Roster) logRestore(listed int) {
	if !r.reportRestore {
		return
	}
	r.reportRestore = false
	ignored, missing, endedServers := 0, 0, 0
	for _, m := range r.members {
		switch {
		case m.ignores:
			ignored++
		case !m.graceEnd.IsZero():
			missing++
		}
	}
	for _, e := range r.ended {
		if e.listed {
			endedServers++
		}
	}
	r.Log.Info("backend servers after a restore of the store", "listed", listed, "known", len(r.members),
		"outdated", ignored, "ended", endedServers, "missing", missing)
}

// releaseZones ends the evacuation of zones that are missing since a restore.
func (r *Roster) releaseZones(now time.Time) {
	if len(r.held.zones) > 0 && !now.Before(r.held.until) {
		r.Log.Info("evacuated zones missing since a restore of the store", "zones", zoneNames(r.held.zones))
		r.held = held{}
		r.setEvacuated(now)
	}
}
